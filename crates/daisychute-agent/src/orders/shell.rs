//! The shell of the order core: it calls the engine and runs the timer.

use std::cell::RefCell;
use std::rc::{Rc, Weak};

use daisychute_core::{EndpointKind, EndpointName, EngineTarget, Plan, Revision, Time};
use daisychute_runtime::Clock;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::engine_client::EngineClient;
use super::{Order, OrderAction, OrderEvent, OrderSettings, Orders};

/// What the order shell asks of the agent, in the order in which it happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutput {
    /// Take new work, or refuse it as not run.
    Admit(bool),
    /// Call [`OrderShell::drained`] when nothing runs or waits any more.
    Drain,
    /// Read the plan on the platform and answer by [`OrderShell::plan_confirmed`].
    ConfirmPlan,
    /// The engine is this, or changes where there is none.
    Observed(Option<EngineTarget>),
}

struct State {
    orders: Orders,
    engine: EngineClient,
    clock: Clock,
    outputs: UnboundedSender<OrderOutput>,
    wake: Option<Time>,
    woken: Rc<Notify>,
}

/// Handle of the order shell. It stops when the last clone is dropped; calls that are under way end by themselves.
#[derive(Clone)]
pub struct OrderShell {
    state: Rc<RefCell<State>>,
}

impl OrderShell {
    /// Starts the shell on the present `actix_rt` system, before the endpoint at this base URL.
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
        let woken = Rc::default();
        let state = State { orders, engine, clock, outputs, wake: None, woken };
        let shell = Self { state: Rc::new(RefCell::new(state)) };
        actix_rt::spawn(run_timer(Rc::downgrade(&shell.state)));
        shell.handle(OrderEvent::Tick);
        (shell, rx)
    }

    /// A newer plan is in force.
    pub fn plan(&self, plan: &Plan, endpoint: &EndpointName) {
        let desired = plan.endpoints.get(endpoint).cloned();
        self.handle(OrderEvent::Plan { revision: plan.revision, desired });
    }

    /// The answer to [`OrderOutput::ConfirmPlan`]: the revision on the platform, or none if it could not be read.
    pub fn plan_confirmed(&self, revision: Option<Revision>) {
        self.handle(OrderEvent::PlanRead(revision));
    }

    /// The answer to [`OrderOutput::Drain`].
    pub fn drained(&self) {
        self.handle(OrderEvent::Drained);
    }

    /// The agent stops: no change is started any more.
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
            OrderAction::Admit(admit) => self.tell(OrderOutput::Admit(admit)),
            OrderAction::Drain => self.tell(OrderOutput::Drain),
            OrderAction::ConfirmPlan => self.tell(OrderOutput::ConfirmPlan),
            OrderAction::Observed(target) => self.tell(OrderOutput::Observed(target)),
            OrderAction::ReadState => {
                actix_rt::spawn(read_state(self.clone()));
            }
            OrderAction::Order(order) => {
                log::info!("order {} to the engine: {:?}", order.fence, order.target);
                actix_rt::spawn(give_order(self.clone(), order));
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

    fn tell(&self, output: OrderOutput) {
        if self.state.borrow().outputs.send(output).is_err() {
            log::debug!("nobody listens to the order shell any more");
        }
    }

    fn wake_at(&self, at: Time) {
        let mut state = self.state.borrow_mut();
        if state.wake.is_none_or(|it| at < it) {
            state.wake = Some(at);
            state.woken.notify_one();
        }
    }

    fn engine(&self) -> EngineClient {
        self.state.borrow().engine.clone()
    }
}

async fn read_state(shell: OrderShell) {
    let state = shell.engine().state().await;
    shell.handle(OrderEvent::State(state));
}

async fn give_order(shell: OrderShell, order: Order) {
    let answer = shell.engine().order(&order).await;
    shell.handle(OrderEvent::Answered(answer));
}

/// Ticks whenever the core has asked to be woken, until the shell is dropped.
async fn run_timer(state: Weak<RefCell<State>>) {
    loop {
        let Some(strong) = state.upgrade() else { return };
        let (at, woken) = {
            let state = strong.borrow();
            (state.wake.map(|it| state.clock.instant(it)), Rc::clone(&state.woken))
        };
        drop(strong);
        let Some(at) = at else {
            woken.notified().await;
            continue;
        };
        tokio::select! {
            () = tokio::time::sleep_until(at.into()) => {}
            () = woken.notified() => continue,
        }
        let Some(strong) = state.upgrade() else { return };
        strong.borrow_mut().wake = None;
        OrderShell { state: strong }.handle(OrderEvent::Tick);
    }
}
