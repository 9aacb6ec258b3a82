//! Calls to the object store, their loss and their delay.

use std::time::Duration;

use bytes::Bytes;
use daisychute_core::{Plan, Revision};
use daisychute_planner::PlannerEvent;
use daisychute_store::{LeaseEvent, Object, ObjectKind, ReadOutcome, WriteOutcome};

use super::World;
use super::message::{Caller, Input, Msg, Op, Reply};

const CALL_DEADLINE: Duration = Duration::from_millis(400);

impl World {
    pub(super) fn call(&mut self, node: usize, caller: Caller, op: Op) {
        let life = self.nodes[node].life;
        let span = self.span(1, 40);
        self.push(span, Msg::Call { node, life, caller, op });
    }

    /// A call reaches the platform, or doesn't.
    pub(super) fn call_arrives(&mut self, node: usize, life: u64, caller: Caller, op: Op) {
        let unreachable = self.is_cut(node) || self.outage_until > self.now;
        let losing = self.losing_until > self.now && self.below(2) == 0;
        let (reply, span) = match op {
            _ if unreachable => (lost(&op), CALL_DEADLINE),
            Op::Write(object) if losing => {
                self.write_and_lose(object);
                (Reply::Write(WriteOutcome::Unknown), CALL_DEADLINE)
            }
            Op::Read(_) if losing => (lost(&op), CALL_DEADLINE),
            Op::Write(object) => (Reply::Write(self.write(&object)), self.span(1, 40)),
            Op::Read(kind) => {
                let answer = Box::new(self.store.read(kind));
                (Reply::Read(answer, self.store.version()), self.span(1, 40))
            }
        };
        self.push(span, Msg::To { node, life, input: Input::Reply(caller, reply) });
    }

    /// A write whose answer is lost takes effect at once, late or never.
    fn write_and_lose(&mut self, object: Box<Object>) {
        match self.below(3) {
            0 => {
                self.write(&object);
            }
            1 => {
                let span = self.span(1, 3_000);
                self.push(span, Msg::LateWrite(object));
            }
            _ => {}
        }
    }

    pub(super) fn write(&mut self, object: &Object) -> WriteOutcome {
        match self.store.write(object) {
            Ok(answer) => {
                if matches!(answer, WriteOutcome::Done(_)) {
                    self.written(object);
                }
                answer
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
            self.tell_watchers(kind, &Bytes::from(object.spec.to_string()));
        }
    }

    pub(super) fn replied(&mut self, node: usize, caller: Caller, reply: Reply) {
        match (caller, reply) {
            (Caller::Lease, Reply::Read(answer, _)) => self.lease(node, LeaseEvent::Read(*answer)),
            (Caller::Lease, Reply::Write(answer)) => self.lease(node, LeaseEvent::Written(answer)),
            (Caller::Planner, Reply::Read(answer, _)) => {
                self.planner(node, PlannerEvent::Read(*answer));
            }
            (Caller::Planner, Reply::Write(answer)) => {
                self.planner(node, PlannerEvent::Written(answer));
            }
            (Caller::Configuration, Reply::Read(answer, version)) => {
                self.listed(node, ObjectKind::Configurations, *answer, version);
            }
            (Caller::Plan, Reply::Read(answer, version)) => {
                self.listed(node, ObjectKind::Plans, *answer, version);
            }
            (Caller::Confirmation, Reply::Read(answer, _)) => self.confirmed(node, *answer),
            (_, Reply::Write(_)) => {}
        }
    }

    /// An agent read the plan itself: what it read is a document like any other.
    fn confirmed(&mut self, node: usize, answer: ReadOutcome) {
        let ReadOutcome::Found(object) = answer else {
            return self.plan_confirmed(node, None);
        };
        let revision = object.parse::<Plan>().map_or(Revision::ZERO, |it| it.revision);
        self.watched(node, ObjectKind::Plans, Bytes::from(object.spec.to_string()));
        self.plan_confirmed(node, Some(revision));
    }
}

fn lost(op: &Op) -> Reply {
    match op {
        Op::Read(_) => Reply::Read(Box::new(ReadOutcome::Failed), "0".into()),
        Op::Write(_) => Reply::Write(WriteOutcome::Unknown),
    }
}
