//! The order core and its shell.
//!
//! [`Orders`] turns the plan's entry for one endpoint into orders to its engine, one at a time. [`OrderShell`] runs it.
//!
//! A change goes through fixed steps: look at the engine, confirm the plan on the platform, drain, confirm again,
//! look again, order, look until it is settled. Only the order itself has an effect on the engine, and it is given
//! only
//!
//! - for the entry of a plan revision that the platform had a moment ago,
//! - when nothing runs on the engine and no change is in progress on it,
//! - when no earlier order, by this agent or by the one before it, can still be on its way.
//!
//! The fencing number of an order is the plan revision that last changed the entry, so it never falls, and an order
//! is repeated only with the same number and the same target.
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

use self::phase::{Look, Phase};

pub use self::engine_state::EngineState;
pub use self::event::{Order, OrderAction, OrderEvent, OrderOutcome};
pub use self::settings::OrderSettings;
pub use self::shell::{OrderOutput, OrderShell};

/// Decision core of the orders to one endpoint.
#[derive(Debug)]
pub struct Orders {
    settings: OrderSettings,
    // Invariant: never falls.
    revision: Revision,
    desired: DesiredState,
    shutting_down: bool,
    phase: Phase,
    /// Until when an order of an earlier agent, or one of unknown outcome, may still reach the engine.
    quiet_at: Time,
    /// What was last said of the engine.
    observed: Option<EngineTarget>,
    /// Whether a change keeps the endpoint closed.
    closed: bool,
    /// What was last said of admission.
    admitted: Option<bool>,
    backoff: Backoff,
    rng: Pcg64,
}

impl Orders {
    /// The core of an agent that starts now before an endpoint of this kind. Orders of the agent before it may still
    /// be on their way. An engine gets work only after it was looked at; a plain service gets no orders.
    #[must_use]
    pub fn new(settings: OrderSettings, kind: &EndpointKind, now: Time, seed: u64) -> Self {
        let is_engine = *kind == EndpointKind::Engine;
        let phase = if is_engine { Phase::Looking(Look::Due(now)) } else { Phase::Idle };
        Self {
            settings,
            revision: Revision::ZERO,
            desired: DesiredState::default(),
            shutting_down: false,
            phase,
            quiet_at: now + settings.order_lifetime,
            observed: None,
            closed: is_engine,
            admitted: None,
            backoff: Backoff::new(settings.first_retry, settings.longest_retry),
            rng: Pcg64::seed_from_u64(seed),
        }
    }

    /// The plan revision in force at this agent.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Takes one event.
    pub fn handle(&mut self, now: Time, event: OrderEvent, out: &mut Vec<OrderAction>) {
        match event {
            OrderEvent::Plan { revision, desired } => self.plan(now, revision, desired),
            OrderEvent::PlanRead(read) => self.plan_read(now, read, out),
            OrderEvent::State(Some(state)) => self.state(now, &state, out),
            OrderEvent::State(None) => self.no_state(now),
            OrderEvent::Answered(answer) => self.answered(now, answer, out),
            OrderEvent::Drained => self.drained(out),
            OrderEvent::Shutdown => self.shutting_down = true,
            OrderEvent::Tick => {}
        }
        self.look_when_due(now, out);
        self.say_admission(out);
    }

    fn plan(&mut self, now: Time, revision: Revision, desired: Option<DesiredState>) {
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
        if changed && matches!(self.phase, Phase::Looking(Look::Due(_))) {
            self.look_at(now);
        }
    }

    fn plan_read(&mut self, now: Time, read: Option<Revision>, out: &mut Vec<OrderAction>) {
        let confirmed = read == Some(self.revision);
        match self.phase {
            Phase::Confirming if confirmed => self.drain(out),
            Phase::Reconfirming if confirmed => self.phase = Phase::ReadingBack(Look::Due(now)),
            Phase::Confirming | Phase::Reconfirming => self.look_later(now),
            _ => {}
        }
    }

    /// Closes the endpoint and waits until it is empty.
    fn drain(&mut self, out: &mut Vec<OrderAction>) {
        self.closed = true;
        self.phase = Phase::Draining;
        self.say_admission(out);
        out.push(OrderAction::Drain);
    }

    fn drained(&mut self, out: &mut Vec<OrderAction>) {
        if self.phase == Phase::Draining {
            self.phase = Phase::Reconfirming;
            out.push(OrderAction::ConfirmPlan);
        }
    }

    fn state(&mut self, now: Time, state: &EngineState, out: &mut Vec<OrderAction>) {
        self.say_observed(state, out);
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Looking(Look::Reading) => self.looked(now, state, out),
            Phase::ReadingBack(Look::Reading) => self.read_back(now, state, out),
            Phase::Settling { order, look: Look::Reading } => {
                self.settle(now, order, state, out);
            }
            other => self.phase = other,
        }
    }

    /// Decides whether a change is needed. No order of this agent is on its way here.
    fn looked(&mut self, now: Time, state: &EngineState, out: &mut Vec<OrderAction>) {
        self.closed = state.changing;
        let wanted = self.desired.target.as_ref().is_some_and(|it| *it != state.target());
        if state.changing {
            self.look_at(now + self.settings.poll_interval);
        } else if !wanted || self.shutting_down {
            self.look_at(now + self.settings.check_interval);
        } else if now < self.quiet_at {
            self.look_at(self.quiet_at);
        } else {
            self.phase = Phase::Confirming;
            out.push(OrderAction::ConfirmPlan);
        }
    }

    /// Gives the order if the engine is as it must be. The endpoint is drained here.
    fn read_back(&mut self, now: Time, state: &EngineState, out: &mut Vec<OrderAction>) {
        let target = self.desired.target.clone().filter(|it| *it != state.target());
        match target {
            _ if state.changing || self.shutting_down => {
                self.look_at(now + self.settings.poll_interval)
            }
            None => self.look_at(now),
            Some(_) if now < self.quiet_at => self.look_at(now),
            Some(_) if state.fence > self.desired.since => self.superseded(now, state.fence, out),
            Some(target) => self.order(Order { fence: self.desired.since, target }, out),
        }
    }

    fn order(&mut self, order: Order, out: &mut Vec<OrderAction>) {
        out.push(OrderAction::Order(order.clone()));
        self.phase = Phase::Ordering(order);
    }

    fn answered(&mut self, now: Time, answer: OrderOutcome, out: &mut Vec<OrderAction>) {
        let Phase::Ordering(order) = std::mem::replace(&mut self.phase, Phase::Idle) else {
            return;
        };
        match answer {
            OrderOutcome::Accepted => self.settle_later(now, order),
            OrderOutcome::Unknown => {
                self.quiet_at = self.quiet_at.max(now + self.settings.order_lifetime);
                self.settle_later(now, order);
            }
            OrderOutcome::Changing => self.look_at(now + self.settings.poll_interval),
            OrderOutcome::StaleFence(fence) => self.superseded(now, fence, out),
            OrderOutcome::NotSent => self.look_later(now),
        }
    }

    fn settle_later(&mut self, now: Time, order: Order) {
        let look = Look::Due(now + self.settings.poll_interval);
        self.phase = Phase::Settling { order, look };
    }

    /// Decides what became of an order.
    fn settle(&mut self, now: Time, order: Order, state: &EngineState, out: &mut Vec<OrderAction>) {
        if state.changing {
            self.settle_later(now, order);
        } else if state.target() == order.target {
            self.quiet_at = self.quiet_at.min(now);
            self.backoff.reset();
            self.look_at(now);
        } else if now < self.quiet_at {
            self.settle_later(now, order);
        } else {
            out.push(OrderAction::Failed { order });
            self.look_later(now);
        }
    }

    fn superseded(&mut self, now: Time, fence: Revision, out: &mut Vec<OrderAction>) {
        out.push(OrderAction::Superseded { fence });
        self.look_later(now);
    }

    fn no_state(&mut self, now: Time) {
        let due = Look::Due(now + self.settings.poll_interval);
        match &mut self.phase {
            Phase::Looking(look) | Phase::ReadingBack(look) | Phase::Settling { look, .. } => {
                *look = due;
            }
            _ => {}
        }
    }

    fn look_at(&mut self, at: Time) {
        self.phase = Phase::Looking(Look::Due(at));
    }

    /// Puts the change off. No order is on its way, so the endpoint serves meanwhile.
    fn look_later(&mut self, now: Time) {
        let delay = self.backoff.next_delay(&mut self.rng);
        self.closed = false;
        self.look_at(now + delay);
    }

    /// Reads the state of the engine when it is time to, and says when that will be.
    fn look_when_due(&mut self, now: Time, out: &mut Vec<OrderAction>) {
        let (Phase::Looking(look) | Phase::ReadingBack(look) | Phase::Settling { look, .. }) =
            &mut self.phase
        else {
            return;
        };
        let Look::Due(at) = *look else { return };
        if at <= now {
            *look = Look::Reading;
            out.push(OrderAction::ReadState);
        } else {
            out.push(OrderAction::WakeAt(at));
        }
    }

    fn say_observed(&mut self, state: &EngineState, out: &mut Vec<OrderAction>) {
        let observed = (!state.changing).then(|| state.target());
        if observed != self.observed {
            self.observed.clone_from(&observed);
            out.push(OrderAction::Observed(observed));
        }
    }

    fn say_admission(&mut self, out: &mut Vec<OrderAction>) {
        let admit = !self.closed && !self.desired.drain && !self.shutting_down;
        if self.admitted.replace(admit) != Some(admit) {
            out.push(OrderAction::Admit(admit));
        }
    }
}
