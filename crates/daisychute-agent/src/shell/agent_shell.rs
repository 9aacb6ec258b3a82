//! The agent's task: an event loop that passes inputs to the core and carries out its actions.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::time::Duration;

use daisychute_core::{
    DataCentreName, EndpointStatus, ProcessName, ProcessRole, ProcessState, ProcessStatus,
    RegionName, RequestId, Revisions, Time,
};
use daisychute_link::{Documents, Link, LinkConfig, LinkEvent, LinkId, accept};
use daisychute_proto::{Frame, GoodbyeReason, Hello, PROTOCOL_VERSION};
use daisychute_runtime::Clock;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::{AgentHandle, EndpointClient, Input, Reporter};
use crate::AdmissionPolicy;
use crate::core::{Action, AgentCore, Event};
use crate::orders::{OrderOutput, OrderSettings, OrderShell};

/// How long entries may take to close their connections after the goodbye frame.
const GOODBYE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the next accept after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Identity of the agent, its endpoint and its connection settings.
#[derive(Debug, Clone)]
pub struct AgentOptions {
    /// Name of the agent process.
    pub process: ProcessName,
    /// Data centre in which it runs.
    pub data_centre: DataCentreName,
    /// Region of that data centre.
    pub region: RegionName,
    /// Base URL of the endpoint's HTTP interface.
    pub endpoint_url: String,
    /// Timeouts of the connections to entries.
    pub link: LinkConfig,
}

/// The event loop of the agent, with its connections and running requests.
pub struct AgentShell<A, D> {
    options: AgentOptions,
    core: AgentCore<A>,
    clock: Clock,
    endpoint: EndpointClient,
    listener: TcpListener,
    links: BTreeMap<LinkId, (ProcessName, Link)>,
    orders: OrderShell,
    order_rx: UnboundedReceiver<OrderOutput>,
    /// Whether the order core waits until no request is queued or running.
    awaiting_drain: bool,
    documents: D,
    runs: BTreeMap<RequestId, JoinHandle<()>>,
    revisions: Revisions,
    next_link: u64,
    /// When requests that are still open end because the process shuts down; `None` before that was requested.
    shutdown_deadline: Option<Time>,
    tx: UnboundedSender<Input>,
    rx: UnboundedReceiver<Input>,
    link_tx: UnboundedSender<LinkEvent>,
    link_rx: UnboundedReceiver<LinkEvent>,
}

impl<A: AdmissionPolicy, D: Documents> AgentShell<A, D> {
    /// Prepares the task. Connections stay in the listen backlog until [`AgentShell::run`].
    ///
    /// # Errors
    ///
    /// The I/O error if the listener can't be registered with the runtime.
    pub fn new(
        options: AgentOptions,
        core: AgentCore<A>,
        clock: Clock,
        listener: StdListener,
        documents: D,
    ) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let (tx, rx) = unbounded_channel();
        let (link_tx, link_rx) = unbounded_channel();
        let (kind, seed) = (&core.record().kind, core.record().incarnation.get());
        let (orders, order_rx) =
            OrderShell::start(OrderSettings::default(), kind, &options.endpoint_url, seed);
        Ok(Self {
            endpoint: EndpointClient::new(&options.endpoint_url),
            orders,
            order_rx,
            awaiting_drain: false,
            documents,
            listener: TcpListener::from_std(listener)?,
            options,
            core,
            clock,
            links: BTreeMap::new(),
            runs: BTreeMap::new(),
            revisions: Revisions::default(),
            next_link: 0,
            shutdown_deadline: None,
            tx,
            rx,
            link_tx,
            link_rx,
        })
    }

    /// A handle for controlling the task from elsewhere in the process.
    #[must_use]
    pub fn handle(&self) -> AgentHandle {
        AgentHandle::new(self.tx.clone())
    }

    /// Serves until [`AgentHandle::shut_down`] was called and no request is left.
    pub async fn run(mut self) {
        while !(self.shutdown_deadline.is_some() && self.core.jobs().is_empty()) {
            let wake = Instant::from_std(self.clock.instant(self.core.wake_at()));
            tokio::select! {
                Some(input) = self.rx.recv() => self.on_input(input),
                Some(event) = self.link_rx.recv() => self.on_link_event(event),
                accepted = self.listener.accept() => self.on_accept(accepted).await,
                () = sleep_until(wake) => self.on_wake(),
                Some(output) = self.order_rx.recv() => self.on_order(output),
            }
            self.check_drained();
        }
        for (_, link) in self.links.values() {
            link.close(GoodbyeReason::Leaving);
        }
        // Frames queued before the goodbye have to arrive, or the entries can't tell which requests were not run.
        if timeout(GOODBYE_TIMEOUT, self.wait_links_closed()).await.is_err() {
            log::warn!("{} connections were not closed in time", self.links.len());
        }
    }

    async fn wait_links_closed(&mut self) {
        while !self.links.is_empty() {
            if let Some(LinkEvent::Down { id, .. }) = self.link_rx.recv().await {
                self.links.remove(&id);
            }
        }
    }

    fn on_wake(&mut self) {
        let is_past = self.shutdown_deadline.is_some_and(|it| it <= self.clock.now());
        let open = self.core.open_requests();
        if is_past && open > 0 {
            log::warn!("{open} requests are still open at the end of the drain");
        }
        self.feed(Event::Wake);
    }

    fn check_drained(&mut self) {
        if self.awaiting_drain && self.core.open_requests() == 0 {
            self.awaiting_drain = false;
            self.orders.drained();
        }
    }

    fn on_order(&mut self, output: OrderOutput) {
        match output {
            OrderOutput::Admit(admit) => self.feed(Event::Drain(!admit)),
            OrderOutput::Drain => self.awaiting_drain = true,
            OrderOutput::ConfirmPlan => self.documents.confirm_plan(),
            OrderOutput::Observed(target) => self.feed(Event::Target(target)),
        }
    }

    async fn on_accept(&mut self, accepted: io::Result<(tokio::net::TcpStream, SocketAddr)>) {
        match accepted {
            Ok((stream, _)) => {
                self.next_link += 1;
                let id = LinkId::new(self.next_link);
                accept(stream, id, self.hello(), self.options.link, self.link_tx.clone());
            }
            Err(error) => {
                log::warn!("accept failed: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }

    fn hello(&self) -> Hello {
        Hello {
            version: PROTOCOL_VERSION,
            min_version: PROTOCOL_VERSION,
            process: self.options.process.clone(),
            incarnation: self.core.record().incarnation,
            role: ProcessRole::Agent,
            data_centre: self.options.data_centre.clone(),
            region: self.options.region.clone(),
            endpoint: Some(self.core.record().clone()),
            revisions: self.revisions,
        }
    }

    fn on_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => {
                if let Event::Revisions(revisions) = &event {
                    self.revisions = *revisions;
                }
                self.feed(event);
            }
            Input::Plan(plan) => self.orders.plan(&plan, &self.core.record().endpoint),
            Input::PlanConfirmed(revision) => self.orders.plan_confirmed(revision),
            Input::Send { peer, frame } => self.send_to(&peer, *frame),
            Input::Status(tx) => {
                // The requester may have stopped waiting.
                let _ = tx.send(self.status());
            }
            Input::Shutdown { drain } => {
                let deadline = self.clock.now() + drain;
                self.shutdown_deadline = Some(deadline);
                self.orders.shut_down();
                self.feed(Event::Shutdown { deadline });
            }
        }
    }

    fn on_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up { id, hello, link } => {
                log::debug!(link:% = id, peer:% = hello.process; "connected");
                self.documents.revisions_reported(&hello.process, hello.revisions);
                self.links.insert(id, (hello.process, link));
                self.feed(Event::LinkUp { link: id });
            }
            LinkEvent::Frame { id, frame } => self.on_frame(id, frame),
            LinkEvent::Down { id, .. } => {
                if let Some((peer, _)) = self.links.remove(&id) {
                    self.on_peer_down(&peer);
                }
                self.feed(Event::LinkDown { link: id });
            }
        }
    }

    fn on_frame(&mut self, id: LinkId, frame: Box<Frame>) {
        let Some((peer, _)) = self.links.get(&id) else { return };
        match *frame {
            Frame::Heartbeat(heartbeat) => {
                self.documents.revisions_reported(peer, heartbeat.revisions)
            }
            Frame::Pull(_) | Frame::Document(_) => self.documents.frame_received(peer, *frame),
            _ => self.feed(Event::Frame { link: id, frame }),
        }
    }

    fn on_peer_down(&self, peer: &ProcessName) {
        if !self.links.values().any(|(it, _)| it == peer) {
            self.documents.peer_disconnected(peer);
        }
    }

    fn send_to(&self, peer: &ProcessName, frame: Frame) {
        // The newest connection has the highest id.
        if let Some((_, link)) = self.links.values().rev().find(|(it, _)| it == peer) {
            link.send(frame);
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
            Action::Send { link, frame } => {
                if let Some((_, link)) = self.links.get(&link) {
                    link.send(*frame);
                }
            }
            Action::Run { start } => {
                let id = start.id;
                let reporter = Reporter::new(start, self.tx.clone());
                let run = actix_rt::spawn(self.endpoint.clone().run(reporter));
                self.track_run(id, run);
            }
            Action::ResumeRun { start, from_tokens } => {
                let id = start.id;
                let reporter = Reporter::new(start, self.tx.clone());
                let run = actix_rt::spawn(self.endpoint.clone().resume(reporter, from_tokens));
                self.track_run(id, run);
            }
            Action::Abort { id, .. } => {
                if let Some(run) = self.runs.remove(&id) {
                    run.abort();
                }
                if let Some(job) = self.core.jobs().get(&id) {
                    actix_rt::spawn(self.endpoint.clone().cancel(job.shared_start()));
                }
            }
        }
    }

    fn track_run(&mut self, id: RequestId, run: JoinHandle<()>) {
        self.runs.retain(|_, it| !it.is_finished());
        self.runs.insert(id, run);
    }

    fn status(&self) -> ProcessStatus {
        let record = self.core.record();
        let endpoint = EndpointStatus {
            endpoint: record.endpoint.clone(),
            data_centre: record.data_centre.clone(),
            kind: record.kind.clone(),
            state: record.state,
            target: record.target.clone(),
            changing: false,
            load: Some(self.core.load(self.clock.now())),
        };
        ProcessStatus {
            process: self.options.process.clone(),
            role: ProcessRole::Agent,
            incarnation: record.incarnation,
            region: self.options.region.clone(),
            data_centre: self.options.data_centre.clone(),
            instance: record.instance.clone(),
            state: match self.shutdown_deadline {
                Some(_) => ProcessState::Leaving,
                None => ProcessState::Ready,
            },
            duties: Vec::new(),
            revisions: self.revisions,
            platform_heard: None,
            in_flight: u32::try_from(self.core.open_requests()).unwrap_or(u32::MAX),
            endpoints: vec![endpoint],
            peers: Vec::new(),
        }
    }
}
