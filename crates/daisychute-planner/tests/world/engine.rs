//! Simulated engine that takes reconfiguration orders, with or without checking the fencing token.

use std::time::Duration;

use daisychute_agent::orders::{EngineState, Order, OrderOutcome};
use daisychute_core::{EndpointName, EngineTarget, Revision, Time};

use super::Violation;
use super::store::Store;

/// A simulated engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) endpoint: EndpointName,
    checks_fence: bool,
    target: EngineTarget,
    change: Option<(EngineTarget, Time)>,
    last_order: Option<Order>,
    started: u64,
    fail_next_change: bool,
    failed: bool,
    /// End of the longest-running admitted request.
    pub(crate) busy_until: Time,
}

pub(crate) fn target(model: u8) -> EngineTarget {
    EngineTarget {
        role: daisychute_core::Role::Mixed,
        model: format!("model-{model}").as_str().try_into().unwrap(),
        version: "1".try_into().unwrap(),
        adapter: None,
    }
}

impl Engine {
    pub(crate) fn new(endpoint: EndpointName, checks_fence: bool) -> Self {
        Self {
            endpoint,
            checks_fence,
            target: target(0),
            change: None,
            last_order: None,
            started: 1,
            fail_next_change: false,
            failed: false,
            busy_until: Time::ZERO,
        }
    }

    pub(crate) fn state(&mut self, now: Time) -> EngineState {
        self.advance(now);
        EngineState {
            role: self.target.role,
            model: self.target.model.clone(),
            version: self.target.version.clone(),
            adapter: None,
            changing: self.change.is_some(),
            fence: self.fence(),
            checks_fence: self.checks_fence,
            started: self.started,
            failed: self.failed.then(|| "weights".to_owned()),
        }
    }

    /// Accepts or refuses an order. `sender_alive` says whether the agent incarnation that sent it is still running.
    pub(crate) fn order(
        &mut self,
        now: Time,
        order: Order,
        sender_alive: bool,
        store: &Store,
    ) -> Result<OrderOutcome, Violation> {
        self.advance(now);
        self.check(now, &order, sender_alive, store)?;
        if self.change.is_some() {
            return Ok(OrderOutcome::Changing);
        }
        if self.checks_fence && order.fence < self.fence() {
            return Ok(OrderOutcome::StaleFence(self.fence()));
        }
        self.change = Some((order.target.clone(), now + Duration::from_millis(1_200)));
        self.last_order = Some(order);
        Ok(OrderOutcome::Accepted)
    }

    pub(crate) fn crash(&mut self, now: Time) {
        self.advance(now);
        self.change = None;
        self.failed = false;
        self.started += 1;
        self.busy_until = now;
    }

    /// Makes the next change fail as if its weights were missing.
    pub(crate) fn fail_next_change(&mut self) {
        self.fail_next_change = true;
    }

    fn fence(&self) -> Revision {
        self.last_order.as_ref().map_or(Revision::ZERO, |it| it.fence)
    }

    fn advance(&mut self, now: Time) {
        let Some((target, _)) = self.change.take_if(|it| it.1 <= now) else { return };
        self.failed = std::mem::take(&mut self.fail_next_change);
        if !self.failed {
            self.target = target;
        }
    }

    fn check(
        &self,
        now: Time,
        order: &Order,
        sender_alive: bool,
        store: &Store,
    ) -> Result<(), Violation> {
        let endpoint = self.endpoint.clone();
        let received = order.fence;
        let decreased = received < self.fence();
        let differs =
            self.last_order.as_ref().is_some_and(|it| it.fence == received && *it != *order);
        if decreased || differs {
            return Err(Violation::Conflicting { endpoint, had: self.fence(), received });
        }
        if self.change.as_ref().is_some_and(|it| it.0 != order.target) {
            return Err(Violation::WhileChanging { endpoint, received });
        }
        if store.ordered(received, &endpoint) != Some(&order.target) {
            return Err(Violation::NotCommitted { endpoint, received });
        }
        if sender_alive && now < self.busy_until {
            return Err(Violation::RequestsInterrupted { endpoint });
        }
        Ok(())
    }
}
