//! Gives events to the cores and carries out their actions.

use bytes::Bytes;
use daisychute_core::{ProcessName, Revision};
use daisychute_proto::{Document, Frame, Pull};
use daisychute_store::{LeaseAction, LeaseEvent, ObjectKind, ReplicaAction, ReplicaEvent};

use super::{Control, ControlOutput, SHARED, calls, document_kind};
use crate::{PlannerAction, PlannerEvent};

impl Control {
    /// Tells every core the time and makes the periodic calls that are due.
    pub(super) fn tick(&self) {
        self.elect();
        for kind in SHARED {
            self.replica(kind, ReplicaEvent::Tick);
        }
        self.lease(LeaseEvent::Tick);
        self.planner(PlannerEvent::Tick);
        self.make_periodic_calls();
    }

    /// Applies the present outcome of the election of watchers. Only watchers may acquire the lease.
    fn elect(&self) {
        let watcher = self.is_watcher();
        for kind in SHARED {
            self.replica(kind, ReplicaEvent::Watcher(watcher));
        }
        self.lease(LeaseEvent::Eligible(watcher));
    }

    fn make_periodic_calls(&self) {
        let plans = self.term().is_some();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let now = state.clock.now();
        if state.status_due.take(now, &mut state.rng) {
            state.tell(ControlOutput::StatusDue);
        }
        let is_entry = state.authority.is_some();
        if is_entry && state.statuses_due.take(now, &mut state.rng) {
            actix_rt::spawn(calls::list_statuses(self.clone()));
        }
        if plans && state.drains_due.take(now, &mut state.rng) {
            actix_rt::spawn(calls::read_drains(self.clone()));
        }
        state.wake_at(state.status_due.next);
        if is_entry {
            state.wake_at(state.statuses_due.next);
        }
        if plans {
            state.wake_at(state.drains_due.next);
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
                self.keep_watch(kind, actix_rt::spawn(watch));
            }
            ReplicaAction::EndWatch => self.end_watch(kind),
            ReplicaAction::Pull { peer, have } => self.pull(kind, peer, have),
            ReplicaAction::Send { peer, revision, body } => {
                self.send_document(kind, peer, revision, body);
            }
            ReplicaAction::Accepted { revision } => self.accepted(kind, revision),
            ReplicaAction::Rejected { error } => {
                let kind = document_kind(kind);
                self.state.borrow().tell(ControlOutput::Rejected { kind, error });
            }
            ReplicaAction::WakeAt(at) => self.state.borrow_mut().wake_at(at),
        }
    }

    fn keep_watch(&self, kind: ObjectKind, task: actix_rt::task::JoinHandle<()>) {
        if let Some(before) = self.state.borrow_mut().watches.insert(kind, task) {
            before.abort();
        }
    }

    fn end_watch(&self, kind: ObjectKind) {
        if let Some(task) = self.state.borrow_mut().watches.remove(&kind) {
            task.abort();
        }
    }

    fn pull(&self, kind: ObjectKind, peer: ProcessName, have: Revision) {
        let frame = Frame::Pull(Pull { kind: document_kind(kind), have });
        self.state.borrow().tell(ControlOutput::Frame { peer, frame: Box::new(frame) });
    }

    fn send_document(&self, kind: ObjectKind, peer: ProcessName, revision: Revision, body: Bytes) {
        let frame = Frame::Document(Document { kind: document_kind(kind), revision, body });
        self.state.borrow().tell(ControlOutput::Frame { peer, frame: Box::new(frame) });
    }

    fn accepted(&self, kind: ObjectKind, revision: Revision) {
        if kind == ObjectKind::Plans {
            if let Some(plan) = self.plan() {
                self.state.borrow().tell(ControlOutput::Plan(plan));
            }
            self.planner(PlannerEvent::RevisionSeen(revision));
        } else if let Some(configuration) = self.configuration() {
            let output = ControlOutput::Configuration { revision, configuration };
            self.state.borrow().tell(output);
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
                self.state.borrow().tell(ControlOutput::Planner(Some(term)));
                self.planner(PlannerEvent::Acquired { term, until });
            }
            LeaseAction::Renewed { until } => self.planner(PlannerEvent::Renewed { until }),
            LeaseAction::Lost { .. } => {
                self.planner(PlannerEvent::Lost);
                self.state.borrow().tell(ControlOutput::Planner(None));
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
            PlannerAction::TermSeen(term) => self.lease(LeaseEvent::TermSeen(term)),
            PlannerAction::WakeAt(at) => self.state.borrow_mut().wake_at(at),
        }
    }
}
