//! The entry's task: a loop that passes events to the core and performs its actions.

use std::collections::BTreeMap;
use std::sync::Arc;

use daisychute_core::{
    Configuration, DataCentreName, EndpointStatus, InstanceName, ProcessName, ProcessRole,
    ProcessState, ProcessStatus, RegionName, RequestId, Revisions,
};
use daisychute_link::{Documents, DownReason, Link, LinkConfig, LinkEvent, LinkId, connect};
use daisychute_proto::{Frame, GoodbyeReason, Heartbeat, Hello, PROTOCOL_VERSION};
use daisychute_runtime::{Clock, Labels};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, sleep_until};

use super::pending_client::PendingClient;
use super::{EntryHandle, Input};
use crate::EndpointSelector;
use crate::core::{Action, Agent, EntryCore, Event, LinkEnd, ResponsePart};

/// Maximum number of distinct tenant labels in metrics, which bounds their cardinality.
const MAX_TENANT_LABELS: usize = 512;

/// Identity of the entry process and settings of its connections.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// Name of the process.
    pub process: ProcessName,
    /// Instance that the process runs on.
    pub instance: InstanceName,
    /// Data centre that the process runs in.
    pub data_centre: DataCentreName,
    /// Region of the data centre.
    pub region: RegionName,
    /// Timeouts of the connections to agents.
    pub link: LinkConfig,
}

/// The entry's task: owns the core, the connections to agents and the pending clients.
#[derive(Debug)]
pub struct EntryShell<C, D> {
    options: EntryOptions,
    core: EntryCore<C>,
    clock: Clock,
    links: BTreeMap<LinkId, (ProcessName, Link)>,
    documents: D,
    clients: BTreeMap<RequestId, PendingClient>,
    tenant_labels: Labels,
    configuration: Option<Arc<Configuration>>,
    revisions: Revisions,
    handle: EntryHandle,
    rx: UnboundedReceiver<Input>,
    link_tx: UnboundedSender<LinkEvent>,
    link_rx: UnboundedReceiver<LinkEvent>,
}

impl<C: EndpointSelector, D: Documents> EntryShell<C, D> {
    /// Creates the task; [`Self::run`] starts it.
    #[must_use]
    pub fn new(options: EntryOptions, core: EntryCore<C>, clock: Clock, documents: D) -> Self {
        let (tx, rx) = unbounded_channel();
        let (link_tx, link_rx) = unbounded_channel();
        Self {
            options,
            core,
            clock,
            links: BTreeMap::new(),
            documents,
            clients: BTreeMap::new(),
            tenant_labels: Labels::new(MAX_TENANT_LABELS),
            configuration: None,
            revisions: Revisions::default(),
            handle: EntryHandle::new(tx),
            rx,
            link_tx,
            link_rx,
        }
    }

    /// Returns a handle to the task.
    #[must_use]
    pub fn handle(&self) -> EntryHandle {
        self.handle.clone()
    }

    /// Runs until [`EntryHandle::shut_down`] was called and all requests are finished.
    pub async fn run(mut self) {
        while !(self.core.is_shutting_down() && self.core.requests().is_empty()) {
            let wake = Instant::from_std(self.clock.instant(self.core.wake_at()));
            tokio::select! {
                Some(input) = self.rx.recv() => self.on_input(input),
                Some(event) = self.link_rx.recv() => self.on_link_event(event),
                () = sleep_until(wake) => self.on_wake(),
            }
        }
        for (_, link) in self.links.values() {
            link.close(GoodbyeReason::Leaving);
        }
    }

    fn on_wake(&mut self) {
        let (open, was_withdrawn) = (self.core.requests().len(), self.core.has_withdrawn());
        self.feed(Event::Wake);
        if open > 0 && self.core.has_withdrawn() && !was_withdrawn {
            log::warn!("{open} requests are still open at the end of the drain");
        }
    }

    fn on_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => {
                match &event {
                    Event::Revisions(revisions) => self.revisions = *revisions,
                    Event::ClientDisconnected { id } => self.client_disconnected(*id),
                    _ => {}
                }
                self.feed(event);
            }
            Input::Submit { submission, parts, id: id_tx } => {
                let id = self.core.next_id();
                if id_tx.send(id).is_err() {
                    // The client disconnected before its request was submitted.
                    return;
                }
                let client = PendingClient::new(
                    self.clock.now(),
                    &submission,
                    parts,
                    &mut self.tenant_labels,
                );
                self.clients.insert(id, client);
                self.feed(Event::Submit { id, submission });
            }
            Input::Configuration(cfg) => self.configuration = Some(cfg),
            Input::Send { peer, frame } => self.send_to(&peer, *frame),
            Input::Status(tx) => {
                // The receiver may have been dropped.
                let _ = tx.send(self.status());
            }
            Input::PrepareShutdown { drain } => {
                let deadline = self.clock.now() + drain;
                self.feed(Event::ShutdownAnnounced { deadline });
            }
            Input::Shutdown => self.feed(Event::Shutdown),
        }
    }

    fn on_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up { id, hello, link } => {
                if let Some(record) = &hello.endpoint {
                    self.documents.endpoint_observed(record);
                }
                self.links.insert(id, (hello.process.clone(), link));
                self.feed(Event::LinkUp { link: id, hello });
            }
            LinkEvent::Frame { id, frame } => {
                if let Frame::Heartbeat(Heartbeat { endpoint: Some(record), .. }) = &*frame {
                    self.documents.endpoint_observed(record);
                }
                self.feed(Event::Frame { link: id, frame });
            }
            LinkEvent::Down { id, reason } => {
                if let Some((peer, _)) = self.links.remove(&id) {
                    self.on_peer_down(&peer);
                }
                self.feed(Event::LinkDown { link: id, end: link_end(&reason) });
            }
        }
    }

    fn feed(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.core.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Connect { link, addr } => {
                connect(addr, link, self.hello(), self.options.link, self.link_tx.clone());
            }
            Action::Send { link, frame } => self.send(link, *frame),
            Action::Close { link } => {
                if let Some((peer, link)) = self.links.remove(&link) {
                    self.on_peer_down(&peer);
                    link.close(GoodbyeReason::Replaced);
                }
            }
            Action::Respond { id, part } => self.forward_part(id, part),
            Action::PeerRevisions { link, revisions } => {
                if let Some((peer, _)) = self.links.get(&link) {
                    self.documents.revisions_reported(peer, revisions);
                }
            }
            Action::Control { link, frame } => {
                if let Some((peer, _)) = self.links.get(&link) {
                    self.documents.frame_received(peer, *frame);
                }
            }
        }
    }

    fn send(&self, link: LinkId, frame: Frame) {
        if let Some((_, link)) = self.links.get(&link) {
            link.send(frame);
        }
    }

    fn send_to(&self, peer: &ProcessName, frame: Frame) {
        // The newest connection to a peer has the highest id.
        if let Some((_, link)) = self.links.values().rev().find(|(it, _)| it == peer) {
            link.send(frame);
        }
    }

    fn on_peer_down(&self, peer: &ProcessName) {
        if !self.links.values().any(|(it, _)| it == peer) {
            self.documents.peer_disconnected(peer);
        }
    }

    fn forward_part(&mut self, id: RequestId, part: ResponsePart) {
        let is_last = matches!(part, ResponsePart::End { .. } | ResponsePart::Refused(_));
        let now = self.clock.now();
        if let Some(client) = self.clients.get_mut(&id) {
            client.forward(now, id, part);
        }
        if is_last {
            self.clients.remove(&id);
        }
    }

    fn client_disconnected(&mut self, id: RequestId) {
        if let Some(client) = self.clients.remove(&id) {
            client.record_disconnect(self.clock.now());
        }
    }

    fn hello(&self) -> Hello {
        Hello {
            version: PROTOCOL_VERSION,
            min_version: PROTOCOL_VERSION,
            process: self.options.process.clone(),
            incarnation: self.core.incarnation(),
            role: ProcessRole::Entry,
            data_centre: self.options.data_centre.clone(),
            region: self.options.region.clone(),
            endpoint: None,
            revisions: self.revisions,
        }
    }

    fn status(&self) -> ProcessStatus {
        let state = match (self.core.is_shutting_down(), &self.configuration) {
            (true, _) => ProcessState::Leaving,
            (false, None) => ProcessState::Starting,
            (false, Some(_)) => ProcessState::Ready,
        };
        ProcessStatus {
            process: self.options.process.clone(),
            role: ProcessRole::Entry,
            incarnation: self.core.incarnation(),
            region: self.options.region.clone(),
            data_centre: self.options.data_centre.clone(),
            instance: self.options.instance.clone(),
            state,
            duties: Vec::new(),
            revisions: self.revisions,
            platform_heard: None,
            in_flight: u32::try_from(self.core.requests().len()).unwrap_or(u32::MAX),
            endpoints: self.core.agents().iter().map(endpoint_status).collect(),
            peers: Vec::new(),
        }
    }
}

fn link_end(reason: &DownReason) -> LinkEnd {
    match reason {
        DownReason::NoListener => LinkEnd::AgentTerminated,
        DownReason::Goodbye(GoodbyeReason::Leaving) => LinkEnd::AgentShutDown,
        _ => LinkEnd::ConnectionLost,
    }
}

fn endpoint_status(agent: &Agent) -> EndpointStatus {
    EndpointStatus {
        endpoint: agent.record.endpoint.clone(),
        data_centre: agent.record.data_centre.clone(),
        kind: agent.record.kind.clone(),
        state: agent.record.state,
        target: agent.record.target.clone(),
        changing: false,
        load: agent.load.map(|(_, load)| load),
    }
}
