//! The I/O shell of the order core: calls the engine and runs the timer.

use std::cell::RefCell;
use std::rc::{Rc, Weak};

use daisychute_core::{EndpointKind, EndpointName, EngineTarget, Plan, Revision, Time};
use daisychute_runtime::Clock;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::engine_client::EngineClient;
use super::{Order, OrderAction, OrderEvent, OrderSettings, Orders};

/// What the order shell requests from the agent, in the order of emission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutput {
    /// Admit new requests (`true`), or refuse them as not run (`false`).
    Admit(bool),
    /// Call [`OrderShell::drained`] as soon as no request is queued or running.
    Drain,
    /// Read the plan from the platform store and report its revision by [`OrderShell::plan_confirmed`].
    ConfirmPlan,
    /// The engine's target has changed. `None` while it is being reconfigured.
    Observed(Option<EngineTarget>),
}

struct State {
    orders: Orders,
    engine: EngineClient,
    clock: Clock,
    outputs: UnboundedSender<OrderOutput>,
    next_wake: Option<Time>,
    wake_changed: Rc<Notify>,
}

/// Handle of the order shell. The shell stops when the last clone is dropped; calls in flight still complete.
#[derive(Clone)]
pub struct OrderShell {
    state: Rc<RefCell<State>>,
}

impl OrderShell {
    /// Starts the shell on the current `actix_rt` system, for the endpoint at this base URL. `seed` determines the
    /// retry delays.
    #[must_use]
    pub fn start(
        settings: OrderSettings,
        kind: &EndpointKind,
        endpoint_url: &str,
        seed: u64,
    ) -> (Self, UnboundedReceiver<OrderOutput>) {
        let (outputs, rx) = unbounded_channel();
        let clock = Clock::start();
        let orders = Orders::new(settings, kind, clock.now(), seed);
        let engine = EngineClient::new(endpoint_url);
        let wake_changed = Rc::default();
        let state = State { orders, engine, clock, outputs, next_wake: None, wake_changed };
        let shell = Self { state: Rc::new(RefCell::new(state)) };
        actix_rt::spawn(run_timer(Rc::downgrade(&shell.state)));
        shell.handle(OrderEvent::Tick);
        (shell, rx)
    }

    /// Applies a plan that is in force at this process.
    pub fn plan(&self, plan: &Plan, endpoint: &EndpointName) {
        let desired = plan.endpoints.get(endpoint).cloned();
        self.handle(OrderEvent::Plan { revision: plan.revision, desired });
    }

    /// Reports the result of [`OrderOutput::ConfirmPlan`]: the plan revision in the platform store, or `None` if it
    /// could not be read.
    pub fn plan_confirmed(&self, revision: Option<Revision>) {
        self.handle(OrderEvent::PlanRead(revision));
    }

    /// Reports that [`OrderOutput::Drain`] is complete.
    pub fn drained(&self) {
        self.handle(OrderEvent::Drained);
    }

    /// Stops admission and starts no further change, as the agent shuts down.
    pub fn shut_down(&self) {
        self.handle(OrderEvent::Shutdown);
    }

    fn handle(&self, event: OrderEvent) {
        let mut out = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            let now = state.clock.now();
            state.orders.handle(now, event, &mut out);
        }
        for action in out {
            self.act(action);
        }
    }

    fn act(&self, action: OrderAction) {
        match action {
            OrderAction::Admit(admit) => self.emit(OrderOutput::Admit(admit)),
            OrderAction::Drain => self.emit(OrderOutput::Drain),
            OrderAction::ConfirmPlan => self.emit(OrderOutput::ConfirmPlan),
            OrderAction::Observed(target) => self.emit(OrderOutput::Observed(target)),
            OrderAction::ReadState => {
                actix_rt::spawn(read_state(self.clone()));
            }
            OrderAction::Order(order) => {
                log::info!("sending order {} to the engine: {:?}", order.fence, order.target);
                actix_rt::spawn(send_order(self.clone(), order));
            }
            OrderAction::Superseded { fence } => {
                log::warn!("the engine took an order with the higher number {fence}");
            }
            OrderAction::Failed { order } => {
                log::warn!("order {} failed and will be tried again", order.fence);
            }
            OrderAction::WakeAt(at) => self.wake_at(at),
        }
    }

    fn emit(&self, output: OrderOutput) {
        if self.state.borrow().outputs.send(output).is_err() {
            log::debug!("output of the order shell dropped: the agent has stopped");
        }
    }

    fn wake_at(&self, at: Time) {
        let mut state = self.state.borrow_mut();
        if state.next_wake.is_none_or(|it| at < it) {
            state.next_wake = Some(at);
            state.wake_changed.notify_one();
        }
    }

    fn engine(&self) -> EngineClient {
        self.state.borrow().engine.clone()
    }
}

async fn read_state(shell: OrderShell) {
    let state = shell.engine().read_state().await;
    shell.handle(OrderEvent::State(state));
}

async fn send_order(shell: OrderShell, order: Order) {
    let outcome = shell.engine().send_order(&order).await;
    shell.handle(OrderEvent::Answered(outcome));
}

/// Sends a tick whenever a requested wake-up time has come, until the shell is dropped.
async fn run_timer(state: Weak<RefCell<State>>) {
    loop {
        let Some(strong) = state.upgrade() else { return };
        let (at, wake_changed) = {
            let state = strong.borrow();
            (state.next_wake.map(|it| state.clock.instant(it)), Rc::clone(&state.wake_changed))
        };
        drop(strong);
        let Some(at) = at else {
            wake_changed.notified().await;
            continue;
        };
        tokio::select! {
            () = tokio::time::sleep_until(at.into()) => {}
            () = wake_changed.notified() => continue,
        }
        let Some(strong) = state.upgrade() else { return };
        strong.borrow_mut().next_wake = None;
        OrderShell { state: strong }.handle(OrderEvent::Tick);
    }
}
