//! Entries with their lease and planner.

use daisychute_core::{EndpointName, EngineTarget, Term};
use daisychute_planner::{PlannerAction, PlannerEvent};
use daisychute_store::{LeaseAction, LeaseEvent, ObjectKind};

use super::message::{CallOrigin, Op};
use super::node::{Cores, EntryCores};
use super::schedule::ENTRIES;
use super::{Violation, World};

impl World {
    pub(super) fn tick_entry(&mut self, node: usize) {
        self.lease(node, LeaseEvent::Eligible(true));
        self.planner(node, PlannerEvent::Tick);
    }

    /// Lease term under which a process may act; `None` if it may not.
    pub(super) fn authority(&self, node: usize) -> Option<Term> {
        match &self.nodes[node].cores {
            Cores::Entry(cores) if self.nodes[node].alive => {
                cores.lease.held_term(self.local(node))
            }
            _ => None,
        }
    }

    fn entry(&mut self, node: usize) -> Option<&mut EntryCores> {
        match &mut self.nodes[node].cores {
            Cores::Entry(cores) => Some(cores),
            Cores::Agent(_) => None,
        }
    }

    pub(super) fn lease(&mut self, node: usize, event: LeaseEvent) {
        let now = self.local(node);
        let mut out = Vec::new();
        if let Some(cores) = self.entry(node) {
            cores.lease.handle(now, event, &mut out);
        }
        for action in out {
            self.lease_action(node, action);
        }
    }

    fn lease_action(&mut self, node: usize, action: LeaseAction) {
        match action {
            LeaseAction::Read => self.call(node, CallOrigin::Lease, Op::Read(ObjectKind::Leases)),
            LeaseAction::Write(object) => {
                self.call(node, CallOrigin::Lease, Op::Write(Box::new(object)));
            }
            LeaseAction::Acquired { term, until } => {
                self.note(|| format!("entry-{node} acquired term {term} until {until}"));
                self.check_holders(node);
                self.planner(node, PlannerEvent::Acquired { term, until });
            }
            LeaseAction::Renewed { until } => self.planner(node, PlannerEvent::Renewed { until }),
            LeaseAction::Lost { term } => {
                self.note(|| format!("entry-{node} lost term {term}"));
                self.planner(node, PlannerEvent::Lost);
            }
            LeaseAction::WakeAt(at) => self.wake_at(node, at),
        }
    }

    fn check_holders(&mut self, first: usize) {
        let second = (0..ENTRIES).find(|it| *it != first && self.authority(*it).is_some());
        if let Some(second) = second.filter(|_| !self.steps_clocks) {
            self.fail(Violation::TwoHolders { first, second });
        }
    }

    pub(super) fn planner(&mut self, node: usize, event: PlannerEvent) {
        let now = self.local(node);
        let mut out = Vec::new();
        if let Some(cores) = self.entry(node) {
            cores.planner.handle(now, event, &mut out);
        }
        for action in out {
            self.planner_action(node, action);
        }
    }

    fn planner_action(&mut self, node: usize, action: PlannerAction) {
        match action {
            PlannerAction::ReadPlan => {
                self.call(node, CallOrigin::Planner, Op::Read(ObjectKind::Plans));
            }
            PlannerAction::WritePlan(object) => {
                self.call(node, CallOrigin::Planner, Op::Write(Box::new(object)));
            }
            PlannerAction::Committed { revision } => {
                self.note(|| format!("entry-{node} committed plan {revision}"));
            }
            PlannerAction::MalformedPlan { error } => panic!("entry-{node}: {error}"),
            PlannerAction::TermSeen(term) => self.lease(node, LeaseEvent::TermSeen(term)),
            PlannerAction::WakeAt(at) => self.wake_at(node, at),
        }
    }

    pub(super) fn observed(
        &mut self,
        node: usize,
        endpoint: EndpointName,
        target: Option<EngineTarget>,
    ) {
        self.planner(node, PlannerEvent::Observed { endpoint, target });
    }
}
