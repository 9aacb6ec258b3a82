//! Drives the order core: its events, its timer and its calls of the engine.

use daisychute_core::{EndpointKind, Time};

use crate::orders::{OrderAction, OrderEvent, OrderSettings, Orders};

/// The order core with what its shell keeps beside it.
#[derive(Debug)]
pub(super) struct OrdersDriver {
    orders: Orders,
    /// When the core wants to be called again.
    wake: Option<Time>,
    /// Whether the core waits until nothing runs or waits for the endpoint.
    awaits_drained: bool,
}

impl OrdersDriver {
    pub(super) fn new(kind: &EndpointKind, now: Time, seed: u64) -> Self {
        let orders = Orders::new(OrderSettings::default(), kind, now, seed);
        Self { orders, wake: Some(now), awaits_drained: false }
    }

    pub(super) fn wake_at(&self) -> Option<Time> {
        self.wake
    }

    pub(super) const fn awaits_drained(&self) -> bool {
        self.awaits_drained
    }

    /// Takes an event and returns what the agent's task must do.
    pub(super) fn handle(&mut self, now: Time, event: OrderEvent) -> Vec<OrderAction> {
        if event == OrderEvent::Drained {
            self.awaits_drained = false;
        }
        self.wake = None;
        let mut actions = Vec::new();
        self.orders.handle(now, event, &mut actions);
        actions.retain(|it| !self.keep(it));
        actions
    }

    /// Keeps what concerns only the driver; returns whether it did.
    fn keep(&mut self, action: &OrderAction) -> bool {
        match action {
            OrderAction::WakeAt(at) => self.wake = Some(self.wake.map_or(*at, |it| it.min(*at))),
            OrderAction::Drain => self.awaits_drained = true,
            _ => return false,
        }
        true
    }
}
