//! Replicas of the configuration and the plan in every process, and the frames between processes.

use bytes::Bytes;
use daisychute_core::Revision;
use daisychute_planner::PlannerEvent;
use daisychute_store::{ObjectKind, ReadOutcome, ReplicaAction, ReplicaEvent, ResourceVersion};

use super::message::{CallOrigin, Frame, Input, Msg, Op};
use super::node::Node;
use super::schedule::{AGENTS, ENTRIES};
use super::{GOSSIP_INTERVAL, Violation, World};

const REPLICATED_KINDS: [ObjectKind; 2] = [ObjectKind::Configurations, ObjectKind::Plans];

impl Node {
    fn replica(
        &mut self,
        kind: ObjectKind,
        now: daisychute_core::Time,
        event: ReplicaEvent,
    ) -> Vec<ReplicaAction> {
        let mut out = Vec::new();
        match kind {
            ObjectKind::Plans => self.plan.handle(now, event, &mut out),
            _ => self.configuration.handle(now, event, &mut out),
        }
        out
    }
}

impl World {
    pub(super) fn become_watcher(&mut self, node: usize) {
        for kind in REPLICATED_KINDS {
            self.replica(node, kind, ReplicaEvent::Watcher(true));
        }
    }

    pub(super) fn tick_replicas(&mut self, node: usize) {
        for kind in REPLICATED_KINDS {
            self.replica(node, kind, ReplicaEvent::Tick);
        }
    }

    fn replica(&mut self, node: usize, kind: ObjectKind, event: ReplicaEvent) {
        let now = self.local(node);
        for action in self.nodes[node].replica(kind, now, event) {
            self.replica_action(node, kind, action);
        }
    }

    fn replica_action(&mut self, node: usize, kind: ObjectKind, action: ReplicaAction) {
        match action {
            ReplicaAction::List => {
                let plan = kind == ObjectKind::Plans;
                let origin = if plan { CallOrigin::Plan } else { CallOrigin::Configuration };
                self.call(node, origin, Op::Read(kind));
            }
            ReplicaAction::Watch { .. } => self.open_watch(node, kind),
            ReplicaAction::EndWatch | ReplicaAction::Rejected { .. } => {}
            ReplicaAction::Pull { peer, have } => {
                self.frame_to_name(node, peer.as_str(), Frame::Pull { kind, have });
            }
            ReplicaAction::Send { peer, body, .. } => {
                self.frame_to_name(node, peer.as_str(), Frame::Document { kind, body });
            }
            ReplicaAction::Accepted { revision } => self.accepted(node, kind, revision),
            ReplicaAction::WakeAt(at) => self.wake_at(node, at),
        }
    }

    fn accepted(&mut self, node: usize, kind: ObjectKind, revision: Revision) {
        self.note(|| format!("node-{node} has {kind} {revision}"));
        if kind == ObjectKind::Plans {
            self.plan_in_force(node);
            if node < ENTRIES {
                self.planner(node, PlannerEvent::RevisionSeen(revision));
            }
            return;
        }
        let from = self.nodes[node].in_force;
        if revision < from {
            self.fail(Violation::Reverted { node, from, to: revision });
        }
        self.nodes[node].in_force = revision;
        let configuration = self.nodes[node].configuration.document();
        let accepted = self.store.accepted(revision).map(|it| &it.configuration);
        if configuration.as_deref() != accepted {
            self.fail(Violation::NotAccepted { node, revision });
        }
    }

    /// Opens a watch, which reports the current object, or ends soon while the platform is unreachable.
    fn open_watch(&mut self, node: usize, kind: ObjectKind) {
        if self.is_partitioned(node) || self.outage_until > self.now {
            let span = self.random_span(300, 500);
            return self.send(node, span, Input::WatchEnded(kind));
        }
        if let ReadOutcome::Found(object) = self.store.read(kind) {
            let span = self.random_span(1, 50);
            self.send(node, span, Input::Watched(kind, Bytes::from(object.spec.to_string())));
        }
    }

    /// Sends a change to the watchers. Events may be reordered.
    pub(super) fn notify_watchers(&mut self, kind: ObjectKind, body: &Bytes) {
        for node in 0..2 {
            if self.nodes[node].alive && !self.is_partitioned(node) && self.outage_until <= self.now
            {
                let span = self.random_span(1, 400);
                self.send(node, span, Input::Watched(kind, body.clone()));
            }
        }
    }

    /// Ends the watches of processes that lost the platform, after the delay until they notice.
    pub(super) fn end_watches(&mut self, nodes: std::ops::Range<usize>) {
        for node in nodes.filter(|it| *it < 2) {
            for kind in REPLICATED_KINDS {
                let span = self.random_span(500, 1_500);
                self.send(node, span, Input::WatchEnded(kind));
            }
        }
    }

    pub(super) fn watched(&mut self, node: usize, kind: ObjectKind, body: Bytes) {
        self.replica(node, kind, ReplicaEvent::Changed { body });
    }

    pub(super) fn watch_ended(&mut self, node: usize, kind: ObjectKind) {
        self.replica(node, kind, ReplicaEvent::WatchEnded);
    }

    pub(super) fn listed(
        &mut self,
        node: usize,
        kind: ObjectKind,
        outcome: ReadOutcome,
        version: ResourceVersion,
    ) {
        let event = match outcome {
            ReadOutcome::Failed => ReplicaEvent::ListFailed,
            ReadOutcome::Missing => ReplicaEvent::Listed { version, body: None },
            ReadOutcome::Found(object) => {
                let body = Some(Bytes::from(object.spec.to_string()));
                ReplicaEvent::Listed { version, body }
            }
        };
        self.replica(node, kind, event);
    }

    pub(super) fn frame(&mut self, node: usize, from: usize, frame: Frame) {
        let peer = self.nodes[from].name.clone();
        match frame {
            Frame::Revisions { configuration, plan } => {
                let revision = configuration;
                let seen = ReplicaEvent::PeerRevision { peer: peer.clone(), revision };
                self.replica(node, ObjectKind::Configurations, seen);
                let seen = ReplicaEvent::PeerRevision { peer, revision: plan };
                self.replica(node, ObjectKind::Plans, seen);
            }
            Frame::Observed { endpoint, target } => self.observed(node, endpoint, target),
            Frame::Pull { kind, have } => {
                self.replica(node, kind, ReplicaEvent::PullFrom { peer, have });
            }
            Frame::Document { kind, body } => {
                self.replica(node, kind, ReplicaEvent::Document { peer, body });
            }
        }
    }

    /// Periodic step of a process: sends its revisions to a random peer. Entries also read the drain requests; agents
    /// simulate requests and report the state of their engine.
    pub(super) fn gossip(&mut self, node: usize) {
        self.push(GOSSIP_INTERVAL, Msg::Gossip(node));
        let sender = &self.nodes[node];
        if !sender.alive || sender.paused_until > self.now {
            return;
        }
        let configuration = sender.configuration.revision();
        let plan = sender.plan.revision();
        let to = usize::try_from(self.random_below((ENTRIES + AGENTS) as u64)).unwrap();
        self.frame_to(node, to, Frame::Revisions { configuration, plan });
        if node < ENTRIES {
            let reachable = !self.is_partitioned(node) && self.outage_until <= self.now;
            let requests = self.drains.clone();
            if reachable {
                self.planner(node, PlannerEvent::DrainRequests(requests));
            }
        } else {
            self.simulate_requests(node);
            self.report_state(node);
        }
    }

    fn report_state(&mut self, node: usize) {
        let engine = &mut self.engines[node - ENTRIES];
        let state = engine.state(self.now);
        let target = (!state.changing).then(|| state.target());
        let frame = Frame::Observed { endpoint: engine.endpoint.clone(), target };
        let to = usize::try_from(self.random_below(ENTRIES as u64)).unwrap();
        self.frame_to(node, to, frame);
    }

    fn frame_to_name(&mut self, from: usize, name: &str, frame: Frame) {
        if let Some(to) = self.nodes.iter().position(|it| it.name.as_str() == name) {
            self.frame_to(from, to, frame);
        }
    }

    fn frame_to(&mut self, from: usize, to: usize, frame: Frame) {
        if from != to && !self.is_partitioned(from) && !self.is_partitioned(to) {
            let span = self.random_span(1, 100);
            self.send(to, span, Input::Frame(from, frame));
        }
    }
}
