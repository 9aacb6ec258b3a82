//! Passes events to the state machines and carries out their actions.

use bytes::Bytes;
use daisychute_core::{ProcessName, Revision};
use daisychute_proto::{Document, Frame, Pull};
use daisychute_store::{LeaseAction, LeaseEvent, ObjectKind, ReplicaAction, ReplicaEvent};

use super::{Control, ControlOutput, REPLICATED_KINDS, calls, document_kind};
use crate::{PlannerAction, PlannerEvent};

impl Control {
    /// Ticks every state machine and makes the periodic calls that are due.
    pub(super) fn tick(&self) {
        self.elect();
        for kind in REPLICATED_KINDS {
            self.replica(kind, ReplicaEvent::Tick);
        }
        self.lease(LeaseEvent::Tick);
        self.planner(PlannerEvent::Tick);
        self.make_periodic_calls();
    }

    /// Applies the current result of the watcher election. Only watchers may acquire the lease.
    fn elect(&self) {
        let watcher = self.is_watcher();
        for kind in REPLICATED_KINDS {
            self.replica(kind, ReplicaEvent::Watcher(watcher));
        }
        self.lease(LeaseEvent::Eligible(watcher));
    }

    fn make_periodic_calls(&self) {
        let may_plan = self.term().is_some();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let now = state.clock.now();
        if state.status_interval.take_expired(now, &mut state.rng) {
            state.emit(ControlOutput::StatusDue);
        }
        let is_entry = state.entry_cores.is_some();
        if is_entry && state.status_list_interval.take_expired(now, &mut state.rng) {
            actix_rt::spawn(calls::list_statuses(self.clone()));
        }
        if may_plan && state.drains_interval.take_expired(now, &mut state.rng) {
            actix_rt::spawn(calls::read_drains(self.clone()));
        }
        state.wake_at(state.status_interval.next);
        if is_entry {
            state.wake_at(state.status_list_interval.next);
        }
        if may_plan {
            state.wake_at(state.drains_interval.next);
        }
    }

    pub(super) fn replica(&self, kind: ObjectKind, event: ReplicaEvent) {
        let actions = self.state.borrow_mut().replica(kind, event);
        for action in actions {
            self.replica_action(kind, action);
        }
    }

    fn replica_action(&self, kind: ObjectKind, action: ReplicaAction) {
        match action {
            ReplicaAction::List => {
                actix_rt::spawn(calls::list_document(self.clone(), kind));
            }
            ReplicaAction::Watch { from } => {
                let (client, name) = {
                    let state = self.state.borrow();
                    (state.client.clone(), state.document_name(kind).to_owned())
                };
                let watch = calls::watch_document(self.downgrade(), client, kind, name, from);
                self.store_watch(kind, actix_rt::spawn(watch));
            }
            ReplicaAction::EndWatch => self.end_watch(kind),
            ReplicaAction::Pull { peer, have } => self.pull(kind, peer, have),
            ReplicaAction::Send { peer, revision, body } => {
                self.send_document(kind, peer, revision, body);
            }
            ReplicaAction::Accepted { revision } => self.accepted(kind, revision),
            ReplicaAction::Rejected { error } => {
                let kind = document_kind(kind);
                self.state.borrow().emit(ControlOutput::Rejected { kind, error });
            }
            ReplicaAction::WakeAt(at) => self.state.borrow_mut().wake_at(at),
        }
    }

    /// Stores the task of a new watch and aborts the previous one.
    fn store_watch(&self, kind: ObjectKind, task: actix_rt::task::JoinHandle<()>) {
        if let Some(previous) = self.state.borrow_mut().watches.insert(kind, task) {
            previous.abort();
        }
    }

    fn end_watch(&self, kind: ObjectKind) {
        if let Some(task) = self.state.borrow_mut().watches.remove(&kind) {
            task.abort();
        }
    }

    fn pull(&self, kind: ObjectKind, peer: ProcessName, have: Revision) {
        let frame = Frame::Pull(Pull { kind: document_kind(kind), have });
        self.state.borrow().emit(ControlOutput::Frame { peer, frame: Box::new(frame) });
    }

    fn send_document(&self, kind: ObjectKind, peer: ProcessName, revision: Revision, body: Bytes) {
        let frame = Frame::Document(Document { kind: document_kind(kind), revision, body });
        self.state.borrow().emit(ControlOutput::Frame { peer, frame: Box::new(frame) });
    }

    fn accepted(&self, kind: ObjectKind, revision: Revision) {
        if kind == ObjectKind::Plans {
            if let Some(plan) = self.plan() {
                self.state.borrow().emit(ControlOutput::Plan(plan));
            }
            self.planner(PlannerEvent::RevisionSeen(revision));
        } else if let Some(configuration) = self.configuration() {
            let output = ControlOutput::Configuration { revision, configuration };
            self.state.borrow().emit(output);
        }
    }

    pub(super) fn lease(&self, event: LeaseEvent) {
        let actions = self.state.borrow_mut().lease(event);
        for action in actions {
            self.lease_action(action);
        }
    }

    fn lease_action(&self, action: LeaseAction) {
        match action {
            LeaseAction::Read => {
                actix_rt::spawn(calls::read_lease(self.clone()));
            }
            LeaseAction::Write(object) => {
                actix_rt::spawn(calls::write_lease(self.clone(), object));
            }
            LeaseAction::Acquired { term, until } => {
                self.state.borrow().emit(ControlOutput::Planner(Some(term)));
                self.planner(PlannerEvent::Acquired { term, until });
            }
            LeaseAction::Renewed { until } => self.planner(PlannerEvent::Renewed { until }),
            LeaseAction::Lost { .. } => {
                self.planner(PlannerEvent::Lost);
                self.state.borrow().emit(ControlOutput::Planner(None));
            }
            LeaseAction::WakeAt(at) => self.state.borrow_mut().wake_at(at),
        }
    }

    pub(super) fn planner(&self, event: PlannerEvent) {
        let actions = self.state.borrow_mut().planner(event);
        for action in actions {
            self.planner_action(action);
        }
    }

    fn planner_action(&self, action: PlannerAction) {
        match action {
            PlannerAction::ReadPlan => {
                actix_rt::spawn(calls::read_plan(self.clone()));
            }
            PlannerAction::WritePlan(object) => {
                actix_rt::spawn(calls::write_plan(self.clone(), object));
            }
            PlannerAction::Committed { revision } => log::info!("plan {revision} is committed"),
            PlannerAction::MalformedPlan { error } => {
                log::error!("the plan can't be parsed, nothing is planned: {error}");
            }
            PlannerAction::TermSeen(term) => self.lease(LeaseEvent::TermSeen(term)),
            PlannerAction::WakeAt(at) => self.state.borrow_mut().wake_at(at),
        }
    }
}
