//! Calls to the object store, with delays and lost calls and results.

use std::time::Duration;

use bytes::Bytes;
use daisychute_core::{Era, Plan, Revision};
use daisychute_planner::PlannerEvent;
use daisychute_store::{LeaseEvent, Object, ObjectKind, ReadOutcome, WriteOutcome};

use super::World;
use super::message::{CallOrigin, Input, Msg, Op, Reply};

/// Time after which a call without a result fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

impl World {
    pub(super) fn call(&mut self, node: usize, origin: CallOrigin, op: Op) {
        let incarnation = self.nodes[node].incarnation;
        let span = self.random_span(1, 40);
        self.push(span, Msg::Call { node, incarnation, origin, op });
    }

    /// Executes a call at the platform, or drops it or its result according to the current faults.
    pub(super) fn call_arrives(
        &mut self,
        node: usize,
        incarnation: u64,
        origin: CallOrigin,
        op: Op,
    ) {
        let unreachable = self.is_partitioned(node) || self.outage_until > self.now;
        let losing = self.losing_results_until > self.now && self.random_below(2) == 0;
        let (reply, span) = match op {
            _ if unreachable => (failed_reply(&op), CALL_TIMEOUT),
            Op::Write(object) if losing => {
                self.write_and_lose(object);
                (Reply::Write(WriteOutcome::Unknown), CALL_TIMEOUT)
            }
            Op::Read(_) if losing => (failed_reply(&op), CALL_TIMEOUT),
            Op::Write(object) => (Reply::Write(self.write(&object)), self.random_span(1, 40)),
            Op::Read(kind) => {
                let outcome = Box::new(self.store.read(kind));
                (Reply::Read(outcome, self.store.version()), self.random_span(1, 40))
            }
        };
        self.push(span, Msg::Deliver { node, incarnation, input: Input::Reply(origin, reply) });
    }

    /// Handles a write whose result is lost: it takes effect immediately, late or never.
    fn write_and_lose(&mut self, object: Box<Object>) {
        match self.random_below(3) {
            0 => {
                self.write(&object);
            }
            1 => {
                let span = self.random_span(1, 3_000);
                self.push(span, Msg::LateWrite(object));
            }
            _ => {}
        }
    }

    pub(super) fn write(&mut self, object: &Object) -> WriteOutcome {
        match self.store.write(object) {
            Ok(outcome) => {
                if matches!(outcome, WriteOutcome::Done(_)) {
                    self.written(object);
                }
                outcome
            }
            Err(violation) => {
                self.fail(violation);
                WriteOutcome::Unknown
            }
        }
    }

    fn written(&mut self, object: &Object) {
        let kind = object.kind;
        self.note(|| format!("{kind} written by {}", object.write_id().unwrap().writer));
        if kind != ObjectKind::Leases {
            self.notify_watchers(kind, &Bytes::from(object.spec.to_string()));
        }
    }

    pub(super) fn replied(&mut self, node: usize, origin: CallOrigin, reply: Reply) {
        match (origin, reply) {
            (CallOrigin::Lease, Reply::Read(outcome, _)) => {
                self.lease(node, LeaseEvent::Read { era: Era::ZERO, outcome: *outcome })
            }
            (CallOrigin::Lease, Reply::Write(outcome)) => {
                self.lease(node, LeaseEvent::Written { era: Era::ZERO, outcome })
            }
            (CallOrigin::Planner, Reply::Read(outcome, _)) => {
                self.planner(node, PlannerEvent::Read(*outcome));
            }
            (CallOrigin::Planner, Reply::Write(outcome)) => {
                self.planner(node, PlannerEvent::Written(outcome));
            }
            (CallOrigin::Configuration, Reply::Read(outcome, version)) => {
                self.listed(node, ObjectKind::Configurations, *outcome, version);
            }
            (CallOrigin::Plan, Reply::Read(outcome, version)) => {
                self.listed(node, ObjectKind::Plans, *outcome, version);
            }
            (CallOrigin::Confirmation, Reply::Read(outcome, _)) => self.confirmed(node, *outcome),
            (_, Reply::Write(_)) => {}
        }
    }

    /// Passes a plan that an agent read directly to its replica, as if a watch had reported it.
    fn confirmed(&mut self, node: usize, outcome: ReadOutcome) {
        let ReadOutcome::Found(object) = outcome else {
            return self.plan_confirmed(node, None);
        };
        let revision = object.parse::<Plan>().map_or(Revision::ZERO, |it| it.revision);
        self.watched(node, ObjectKind::Plans, Bytes::from(object.spec.to_string()));
        self.plan_confirmed(node, Some(revision));
    }
}

fn failed_reply(op: &Op) -> Reply {
    match op {
        Op::Read(_) => Reply::Read(Box::new(ReadOutcome::Failed), "0".into()),
        Op::Write(_) => Reply::Write(WriteOutcome::Unknown),
    }
}
