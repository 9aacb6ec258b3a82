//! An engine that takes orders, with or without a check of the fencing number.

use std::time::Duration;

use daisychute_agent::orders::{EngineState, Order, OrderOutcome};
use daisychute_core::{EndpointName, EngineTarget, Revision, Time};

use super::Violation;
use super::store::Store;

/// An engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) endpoint: EndpointName,
    checks_fence: bool,
    target: EngineTarget,
    change: Option<(EngineTarget, Time)>,
    last: Option<Order>,
    started: u64,
    failing: bool,
    failed: bool,
    /// Until when the requests that the agent admitted run.
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
            last: None,
            started: 1,
            failing: false,
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

    /// Takes an order, or refuses it. `own` tells whether the agent that gave it still lives.
    pub(crate) fn order(
        &mut self,
        now: Time,
        order: Order,
        own: bool,
        store: &Store,
    ) -> Result<OrderOutcome, Violation> {
        self.advance(now);
        self.check(now, &order, own, store)?;
        if self.change.is_some() {
            return Ok(OrderOutcome::Changing);
        }
        if self.checks_fence && order.fence < self.fence() {
            return Ok(OrderOutcome::StaleFence(self.fence()));
        }
        self.change = Some((order.target.clone(), now + Duration::from_millis(1_200)));
        self.last = Some(order);
        Ok(OrderOutcome::Accepted)
    }

    pub(crate) fn crash(&mut self, now: Time) {
        self.advance(now);
        self.change = None;
        self.failed = false;
        self.started += 1;
        self.busy_until = now;
    }

    /// The next change fails for want of weights.
    pub(crate) fn fail_next(&mut self) {
        self.failing = true;
    }

    fn fence(&self) -> Revision {
        self.last.as_ref().map_or(Revision::ZERO, |it| it.fence)
    }

    fn advance(&mut self, now: Time) {
        let Some((target, _)) = self.change.take_if(|it| it.1 <= now) else { return };
        self.failed = std::mem::take(&mut self.failing);
        if !self.failed {
            self.target = target;
        }
    }

    fn check(&self, now: Time, order: &Order, own: bool, store: &Store) -> Result<(), Violation> {
        let endpoint = self.endpoint.clone();
        let got = order.fence;
        let fell = got < self.fence();
        let differs = self.last.as_ref().is_some_and(|it| it.fence == got && *it != *order);
        if fell || differs {
            return Err(Violation::Conflicting { endpoint, had: self.fence(), got });
        }
        if self.change.as_ref().is_some_and(|it| it.0 != order.target) {
            return Err(Violation::WhileChanging { endpoint, got });
        }
        if store.ordered(got, &endpoint) != Some(&order.target) {
            return Err(Violation::NotCommitted { endpoint, got });
        }
        if own && now < self.busy_until {
            return Err(Violation::Cut { endpoint });
        }
        Ok(())
    }
}
