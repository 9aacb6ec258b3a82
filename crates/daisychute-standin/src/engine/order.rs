//! Reconfiguration orders and the changes that execute them.

use std::rc::Rc;

use daisychute_core::EngineTarget;
use serde::Deserialize;

use super::faults::{Crash, EngineFaults};
use super::seen::{OrderOutcome, OrderSeen};
use super::state::{ChangeFailure, State};

/// Exit status of the process when the fault [`Crash::Exit`] ends it.
const CRASH_STATUS: i32 = 101;

/// JSON body of `POST /orders`.
#[derive(Debug, Deserialize)]
pub(super) struct Order {
    pub(super) fence: u64,
    pub(super) target: EngineTarget,
}

impl State {
    /// Accepts or refuses an order and records it.
    pub(super) fn handle_order(self: &Rc<Self>, order: Order) -> OrderOutcome {
        let outcome = self.decide(&order);
        let mut seen = self.describe_order(&order, outcome);
        if outcome == OrderOutcome::Accepted || outcome == OrderOutcome::Unchanged {
            self.memory.borrow_mut().fence = order.fence;
        }
        if outcome == OrderOutcome::Accepted {
            seen.cut = self.begin_change(order.target);
        }
        let mut all = self.seen.borrow_mut();
        all.conflicts += u64::from(seen.conflict);
        all.orders.push(seen);
        outcome
    }

    fn decide(&self, order: &Order) -> OrderOutcome {
        let memory = self.memory.borrow();
        if self.with_faults(|it| EngineFaults::take(&mut it.refuse_orders)) {
            OrderOutcome::Refused
        } else if self.config.checks_fence && order.fence < memory.fence {
            OrderOutcome::StaleFence
        } else if memory.changing.is_some() {
            OrderOutcome::Changing
        } else if memory.target == order.target {
            OrderOutcome::Unchanged
        } else {
            OrderOutcome::Accepted
        }
    }

    fn describe_order(&self, order: &Order, outcome: OrderOutcome) -> OrderSeen {
        let memory = self.memory.borrow();
        let seen = self.seen.borrow();
        let max_fence = seen.orders.iter().map(|it| it.fence).max().unwrap_or_default();
        OrderSeen {
            fence: order.fence,
            target: order.target.clone(),
            outcome,
            overlap: memory.changing.is_some(),
            conflict: memory.changing.as_ref().is_some_and(|it| *it != order.target),
            stale: order.fence < max_fence,
            cut: 0,
        }
    }

    /// Starts a change. Returns the number of requests that it aborts.
    fn begin_change(self: &Rc<Self>, target: EngineTarget) -> u64 {
        let mut memory = self.memory.borrow_mut();
        let aborted = memory.abort_all();
        memory.clear_cache();
        memory.changing = Some(target.clone());
        memory.change_failure = None;
        actix_rt::spawn(Rc::clone(self).run_change(target));
        let count = aborted.len() as u64;
        self.seen.borrow_mut().cut.extend(aborted);
        count
    }

    async fn run_change(self: Rc<Self>, target: EngineTarget) {
        let started = self.started.get();
        let half = self.config.change / 2;
        actix_rt::time::sleep(half).await;
        if let Some(crash) = self.with_faults(|it| it.crash_change.take()) {
            return self.crash_as(crash);
        }
        let loaded = self.load_weights(&target).await;
        actix_rt::time::sleep(self.config.change - half).await;
        if self.started.get() == started {
            self.end_change(target, loaded);
        }
    }

    /// Simulates a crash of this kind.
    pub(super) fn crash_as(&self, crash: Crash) {
        match crash {
            Crash::Exit => std::process::exit(CRASH_STATUS),
            Crash::Reset => self.crash(),
        }
    }

    /// Downloads the weights if the model or version changes. Returns whether they are available.
    async fn load_weights(&self, target: &EngineTarget) -> bool {
        let Some(store) = &self.config.weights else { return true };
        let same_weights = {
            let present = &self.memory.borrow().target;
            present.model == target.model && present.version == target.version
        };
        if same_weights {
            return true;
        }
        let url = format!("{store}/weights/{}/{}", target.model, target.version);
        let response = awc::Client::new().get(url).send().await;
        response.is_ok_and(|it| it.status().is_success())
    }

    fn end_change(&self, target: EngineTarget, loaded: bool) {
        let mut memory = self.memory.borrow_mut();
        memory.changing = None;
        if loaded {
            memory.target = target;
            self.seen.borrow_mut().changes += 1;
        } else {
            memory.change_failure = Some(ChangeFailure::Weights);
        }
    }
}
