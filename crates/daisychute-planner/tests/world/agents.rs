//! Agents and their reconfiguration orders to engines.

use std::time::Duration;

use daisychute_agent::orders::{EngineState, Order, OrderAction, OrderEvent, OrderOutcome, Orders};
use daisychute_core::Revision;
use daisychute_store::ObjectKind;

use super::World;
use super::message::{CallOrigin, Input, Msg, Op};
use super::node::Cores;
use super::schedule::ENTRIES;

impl World {
    pub(super) fn tick_agent(&mut self, node: usize) {
        self.orders(node, OrderEvent::Tick);
    }

    fn orders_of(&mut self, node: usize) -> Option<&mut Orders> {
        match &mut self.nodes[node].cores {
            Cores::Agent(orders) => Some(orders),
            Cores::Entry(_) => None,
        }
    }

    fn orders(&mut self, node: usize, event: OrderEvent) {
        let now = self.local(node);
        let mut out = Vec::new();
        if let Some(orders) = self.orders_of(node) {
            orders.handle(now, event, &mut out);
        }
        for action in out {
            self.order_action(node, action);
        }
    }

    fn order_action(&mut self, node: usize, action: OrderAction) {
        let incarnation = self.nodes[node].incarnation;
        match action {
            OrderAction::Admit(admit) => self.nodes[node].admits = admit,
            OrderAction::Drain => {
                let busy = self.engines[node - ENTRIES].busy_until;
                self.send(node, busy.since(self.now), Input::Drained);
            }
            OrderAction::ConfirmPlan => {
                self.call(node, CallOrigin::Confirmation, Op::Read(ObjectKind::Plans));
            }
            OrderAction::ReadState => {
                let span = self.random_span(1, 20);
                self.push(span, Msg::ReadState { node, incarnation });
            }
            OrderAction::Order(order) => self.send_order(node, incarnation, order),
            OrderAction::WakeAt(at) => self.wake_at(node, at),
            OrderAction::Observed(_)
            | OrderAction::Superseded { .. }
            | OrderAction::Failed { .. } => {}
        }
    }

    fn send_order(&mut self, node: usize, incarnation: u64, order: Order) {
        let fence = order.fence;
        self.note(|| format!("agent-{node} orders with fence {fence}"));
        let lost = self.losing_results_until > self.now;
        let late = lost && self.random_below(2) == 0;
        let span = if late { self.random_span(1, 7_500) } else { self.random_span(1, 20) };
        if lost {
            let outcome = Input::Answered(OrderOutcome::Unknown);
            self.send(node, Duration::from_millis(300), outcome);
        }
        if !lost || self.random_below(3) != 0 {
            self.push(span, Msg::Order { node, incarnation, order, lost });
        }
    }

    pub(super) fn order_arrives(
        &mut self,
        node: usize,
        incarnation: u64,
        order: Order,
        lost: bool,
    ) {
        let sender = &self.nodes[node];
        let sender_alive = sender.alive && sender.incarnation == incarnation;
        let engine = &mut self.engines[node - ENTRIES];
        match engine.order(self.now, order, sender_alive, &self.store) {
            Err(violation) => self.fail(violation),
            Ok(outcome) if !lost && sender_alive => {
                self.send(node, Duration::ZERO, Input::Answered(outcome))
            }
            Ok(_) => {}
        }
    }

    pub(super) fn state_read(&mut self, node: usize, incarnation: u64) {
        let state = self.engines[node - ENTRIES].state(self.now);
        let span = self.random_span(1, 20);
        self.push(span, Msg::Deliver { node, incarnation, input: Input::State(state) });
    }

    pub(super) fn engine_state(&mut self, node: usize, state: EngineState) {
        self.orders(node, OrderEvent::State(Some(state)));
    }

    pub(super) fn order_answered(&mut self, node: usize, outcome: OrderOutcome) {
        self.orders(node, OrderEvent::Answered(outcome));
    }

    /// Reports that the endpoint is drained, unless more work arrived before the agent noticed.
    pub(super) fn drained(&mut self, node: usize) {
        let busy = self.engines[node - ENTRIES].busy_until;
        if busy > self.now {
            self.send(node, busy.since(self.now), Input::Drained);
        } else {
            self.orders(node, OrderEvent::Drained);
        }
    }

    pub(super) fn plan_confirmed(&mut self, node: usize, revision: Option<Revision>) {
        self.orders(node, OrderEvent::PlanRead(revision));
    }

    /// Passes the plan in force at an agent to its order state machine.
    pub(super) fn plan_in_force(&mut self, node: usize) {
        let Some(plan) = self.nodes[node].plan.document() else { return };
        if node >= ENTRIES {
            let endpoint = &self.engines[node - ENTRIES].endpoint;
            let desired = plan.endpoints.get(endpoint).cloned();
            self.orders(node, OrderEvent::Plan { revision: plan.revision, desired });
        }
    }

    /// Simulates requests: while the agent admits them, they keep its engine busy.
    pub(super) fn simulate_requests(&mut self, node: usize) {
        if self.nodes[node].admits {
            let until = self.now + self.random_span(0, 600);
            let engine = &mut self.engines[node - ENTRIES];
            engine.busy_until = engine.busy_until.max(until);
        }
    }
}
