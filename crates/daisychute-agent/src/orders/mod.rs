//! Reconfiguration orders to an engine: a sans-I/O core and its shell.
//!
//! [`Orders`] turns the desired state of one endpoint into orders to its engine, one at a time. [`OrderShell`] does the
//! I/O.
//!
//! A change has fixed steps: read the engine's state, confirm that the plan is current in the platform store, drain,
//! confirm again, read the state again, send the order, and poll the state until the outcome is known. Only the order
//! itself affects the engine, and it is sent only
//!
//! - for a plan revision that was just confirmed in the platform store,
//! - when no request and no change is in progress on the engine,
//! - when no earlier order, of this agent or of its predecessor, can still reach the engine.
//!
//! The fencing token of an order is the plan revision that last changed the desired state. It therefore never
//! decreases, and a repeated order has the same token and the same target.
//!
//! ```
//! use daisychute_agent::orders::{OrderAction, OrderEvent, OrderSettings, Orders};
//! use daisychute_core::{DesiredState, EndpointKind, Revision, Time};
//!
//! let mut orders = Orders::new(OrderSettings::default(), &EndpointKind::Engine, Time::ZERO, 7);
//! let desired = DesiredState { drain: true, ..DesiredState::default() };
//! let plan = OrderEvent::Plan { revision: Revision::new(1), desired: Some(desired) };
//! let mut out = Vec::new();
//! orders.handle(Time::ZERO, plan, &mut out);
//! assert!(out.contains(&OrderAction::Admit(false)));
//! ```

mod engine_client;
mod engine_state;
mod event;
mod phase;
mod settings;
mod shell;

use daisychute_core::{DesiredState, EndpointKind, EngineTarget, Revision, Time};
use daisychute_store::Backoff;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use self::phase::{Phase, StateCheck};

pub use self::engine_state::EngineState;
pub use self::event::{Order, OrderAction, OrderEvent, OrderOutcome};
pub use self::settings::OrderSettings;
pub use self::shell::{OrderOutput, OrderShell};

/// Sans-I/O core that issues the orders to one endpoint.
#[derive(Debug)]
pub struct Orders {
    settings: OrderSettings,
    // Invariant: never decreases.
    revision: Revision,
    desired: DesiredState,
    shutting_down: bool,
    phase: Phase,
    /// Until when an order of the agent's predecessor, or one of unknown outcome, may still reach the engine.
    orders_expire_at: Time,
    /// The target in the last [`OrderAction::Observed`].
    observed: Option<EngineTarget>,
    /// Whether a change in progress prevents the admission of requests. An engine starts like this, until its state was
    /// read.
    closed_for_change: bool,
    /// The value in the last [`OrderAction::Admit`]; `None` before the first.
    last_admit: Option<bool>,
    backoff: Backoff,
    rng: Pcg64,
}

impl Orders {
    /// The core of an agent that starts now for an endpoint of this kind. Orders of its predecessor may still reach the
    /// engine. An engine gets requests only after its state was read; a plain service gets no orders.
    #[must_use]
    pub fn new(settings: OrderSettings, kind: &EndpointKind, now: Time, seed: u64) -> Self {
        let is_engine = *kind == EndpointKind::Engine;
        let phase = if is_engine { Phase::Checking(StateCheck::Due(now)) } else { Phase::Idle };
        Self {
            settings,
            revision: Revision::ZERO,
            desired: DesiredState::default(),
            shutting_down: false,
            phase,
            orders_expire_at: now + settings.order_lifetime,
            observed: None,
            closed_for_change: is_engine,
            last_admit: None,
            backoff: Backoff::new(settings.first_retry, settings.longest_retry),
            rng: Pcg64::seed_from_u64(seed),
        }
    }

    /// The revision of the plan in force at this agent; zero before the first.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: OrderEvent, out: &mut Vec<OrderAction>) {
        match event {
            OrderEvent::Plan { revision, desired } => self.plan_updated(now, revision, desired),
            OrderEvent::PlanRead(read) => self.plan_read(now, read, out),
            OrderEvent::State(Some(state)) => self.state_read(now, &state, out),
            OrderEvent::State(None) => self.state_unavailable(now),
            OrderEvent::Answered(outcome) => self.order_answered(now, outcome, out),
            OrderEvent::Drained => self.drained(out),
            OrderEvent::Shutdown => self.shutting_down = true,
            OrderEvent::Tick => {}
        }
        self.check_when_due(now, out);
        self.emit_admission(out);
    }

    fn plan_updated(&mut self, now: Time, revision: Revision, desired: Option<DesiredState>) {
        if revision <= self.revision {
            return;
        }
        self.revision = revision;
        let desired = desired.unwrap_or_default();
        let changed = desired.target != self.desired.target;
        self.desired = desired;
        if changed {
            self.backoff.reset();
        }
        if changed && matches!(self.phase, Phase::Checking(StateCheck::Due(_))) {
            self.check_at(now);
        }
    }

    fn plan_read(&mut self, now: Time, read: Option<Revision>, out: &mut Vec<OrderAction>) {
        let confirmed = read == Some(self.revision);
        match self.phase {
            Phase::Confirming if confirmed => self.drain(out),
            Phase::Reconfirming if confirmed => {
                self.phase = Phase::Rechecking(StateCheck::Due(now))
            }
            Phase::Confirming | Phase::Reconfirming => self.retry_later(now),
            _ => {}
        }
    }

    /// Stops admission and waits until no request is queued or running.
    fn drain(&mut self, out: &mut Vec<OrderAction>) {
        self.closed_for_change = true;
        self.phase = Phase::Draining;
        self.emit_admission(out);
        out.push(OrderAction::Drain);
    }

    fn drained(&mut self, out: &mut Vec<OrderAction>) {
        if self.phase == Phase::Draining {
            self.phase = Phase::Reconfirming;
            out.push(OrderAction::ConfirmPlan);
        }
    }

    fn state_read(&mut self, now: Time, state: &EngineState, out: &mut Vec<OrderAction>) {
        self.emit_observed(state, out);
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Checking(StateCheck::Reading) => self.state_checked(now, state, out),
            Phase::Rechecking(StateCheck::Reading) => self.state_rechecked(now, state, out),
            Phase::Resolving { order, check: StateCheck::Reading } => {
                self.resolve(now, order, state, out);
            }
            other => self.phase = other,
        }
    }

    /// Starts a change if the engine differs from its desired state. No order of this agent is in flight here.
    fn state_checked(&mut self, now: Time, state: &EngineState, out: &mut Vec<OrderAction>) {
        self.closed_for_change = state.changing;
        let change_needed = self.desired.target.as_ref().is_some_and(|it| *it != state.target());
        if state.changing {
            self.check_at(now + self.settings.poll_interval);
        } else if !change_needed || self.shutting_down {
            self.check_at(now + self.settings.check_interval);
        } else if now < self.orders_expire_at {
            self.check_at(self.orders_expire_at);
        } else {
            self.phase = Phase::Confirming;
            out.push(OrderAction::ConfirmPlan);
        }
    }

    /// Sends the order if the engine's state still allows it. The endpoint is drained here.
    fn state_rechecked(&mut self, now: Time, state: &EngineState, out: &mut Vec<OrderAction>) {
        let target = self.desired.target.clone().filter(|it| *it != state.target());
        match target {
            _ if state.changing || self.shutting_down => {
                self.check_at(now + self.settings.poll_interval)
            }
            None => self.check_at(now),
            Some(_) if now < self.orders_expire_at => self.check_at(now),
            Some(_) if state.fence > self.desired.since => self.superseded(now, state.fence, out),
            Some(target) => self.send_order(Order { fence: self.desired.since, target }, out),
        }
    }

    fn send_order(&mut self, order: Order, out: &mut Vec<OrderAction>) {
        out.push(OrderAction::Order(order.clone()));
        self.phase = Phase::Ordering(order);
    }

    fn order_answered(&mut self, now: Time, outcome: OrderOutcome, out: &mut Vec<OrderAction>) {
        let Phase::Ordering(order) = std::mem::replace(&mut self.phase, Phase::Idle) else {
            return;
        };
        match outcome {
            OrderOutcome::Accepted => self.resolve_later(now, order),
            OrderOutcome::Unknown => {
                self.orders_expire_at =
                    self.orders_expire_at.max(now + self.settings.order_lifetime);
                self.resolve_later(now, order);
            }
            OrderOutcome::Changing => self.check_at(now + self.settings.poll_interval),
            OrderOutcome::StaleFence(fence) => self.superseded(now, fence, out),
            OrderOutcome::NotSent => self.retry_later(now),
        }
    }

    fn resolve_later(&mut self, now: Time, order: Order) {
        let check = StateCheck::Due(now + self.settings.poll_interval);
        self.phase = Phase::Resolving { order, check };
    }

    /// Derives the outcome of an order from the engine's state.
    fn resolve(
        &mut self,
        now: Time,
        order: Order,
        state: &EngineState,
        out: &mut Vec<OrderAction>,
    ) {
        if state.changing {
            self.resolve_later(now, order);
        } else if state.target() == order.target {
            self.orders_expire_at = self.orders_expire_at.min(now);
            self.backoff.reset();
            self.check_at(now);
        } else if now < self.orders_expire_at {
            self.resolve_later(now, order);
        } else {
            out.push(OrderAction::Failed { order });
            self.retry_later(now);
        }
    }

    fn superseded(&mut self, now: Time, fence: Revision, out: &mut Vec<OrderAction>) {
        out.push(OrderAction::Superseded { fence });
        self.retry_later(now);
    }

    fn state_unavailable(&mut self, now: Time) {
        let due = StateCheck::Due(now + self.settings.poll_interval);
        match &mut self.phase {
            Phase::Checking(check) | Phase::Rechecking(check) | Phase::Resolving { check, .. } => {
                *check = due;
            }
            _ => {}
        }
    }

    fn check_at(&mut self, at: Time) {
        self.phase = Phase::Checking(StateCheck::Due(at));
    }

    /// Postpones the change by the backoff delay. No order is in flight, so the endpoint serves requests until then.
    fn retry_later(&mut self, now: Time) {
        let delay = self.backoff.next_delay(&mut self.rng);
        self.closed_for_change = false;
        self.check_at(now + delay);
    }

    /// Requests the engine's state if a check is due, or else a wake-up for when it is.
    fn check_when_due(&mut self, now: Time, out: &mut Vec<OrderAction>) {
        let (Phase::Checking(check) | Phase::Rechecking(check) | Phase::Resolving { check, .. }) =
            &mut self.phase
        else {
            return;
        };
        let StateCheck::Due(at) = *check else { return };
        if at <= now {
            *check = StateCheck::Reading;
            out.push(OrderAction::ReadState);
        } else {
            out.push(OrderAction::WakeAt(at));
        }
    }

    fn emit_observed(&mut self, state: &EngineState, out: &mut Vec<OrderAction>) {
        let observed = (!state.changing).then(|| state.target());
        if observed != self.observed {
            self.observed.clone_from(&observed);
            out.push(OrderAction::Observed(observed));
        }
    }

    fn emit_admission(&mut self, out: &mut Vec<OrderAction>) {
        let admit = !self.closed_for_change && !self.desired.drain && !self.shutting_down;
        if self.last_admit.replace(admit) != Some(admit) {
            out.push(OrderAction::Admit(admit));
        }
    }
}
