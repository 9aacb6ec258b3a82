//! Bounds the number of open connections of a listener.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;

/// The open connections of a listener, bounded in number.
///
/// At the limit a new connection takes the place of the one that has waited longest for a request to be answered, so
/// that connections which never get that far keep no others out. Clones share the connections.
///
/// ```
/// use daisychute_front::ConnectionSlots;
///
/// let slots = ConnectionSlots::default();
/// let (first, second) = (slots.admit(2).unwrap(), slots.admit(2).unwrap());
/// first.wait();
/// let third = slots.admit(2).unwrap();
/// assert!(second.is_evicted() && !first.is_evicted());
/// ```
#[derive(Debug, Clone, Default)]
pub struct ConnectionSlots {
    slots: Rc<RefCell<Slots>>,
}

#[derive(Debug, Default)]
struct Slots {
    /// Number of connections that haven't been evicted.
    open: usize,
    /// Connections that may be evicted, from the one that has waited longest.
    waiting: BTreeMap<u64, Rc<Eviction>>,
    next_place: u64,
}

/// Tells a connection that it was evicted.
#[derive(Debug, Default)]
struct Eviction {
    has_happened: Cell<bool>,
    notify: Notify,
}

impl ConnectionSlots {
    /// Admits a connection, which waits for its first request. At the limit, the connection that has waited longest is
    /// evicted for it. Returns `None` if all others are being served.
    #[must_use]
    pub fn admit(&self, limit: usize) -> Option<ConnectionSlot> {
        while self.open() >= limit {
            if !self.evict() {
                return None;
            }
        }
        self.slots.borrow_mut().open += 1;
        let slot =
            ConnectionSlot { slots: self.clone(), place: Cell::default(), eviction: Rc::default() };
        slot.wait();
        Some(slot)
    }

    /// Evicts the connection that has waited longest. Returns whether there was one.
    #[must_use]
    pub fn evict(&self) -> bool {
        let mut slots = self.slots.borrow_mut();
        let Some((_, eviction)) = slots.waiting.pop_first() else { return false };
        slots.open -= 1;
        eviction.has_happened.set(true);
        eviction.notify.notify_one();
        true
    }

    /// Returns the number of open connections, without evicted ones.
    #[must_use]
    pub fn open(&self) -> usize {
        self.slots.borrow().open
    }
}

/// The place of an open connection, which is free again when this is dropped.
#[derive(Debug)]
pub struct ConnectionSlot {
    slots: ConnectionSlots,
    /// Place among those that wait; `None` while the connection is being served.
    place: Cell<Option<u64>>,
    eviction: Rc<Eviction>,
}

impl ConnectionSlot {
    /// Marks the connection as waiting, from now on, for a request to be answered.
    pub fn wait(&self) {
        self.serve();
        if self.is_evicted() {
            return;
        }
        let mut slots = self.slots.slots.borrow_mut();
        let place = slots.next_place;
        slots.next_place += 1;
        slots.waiting.insert(place, Rc::clone(&self.eviction));
        self.place.set(Some(place));
    }

    /// Marks the connection as being served: it isn't evicted until it [waits](Self::wait) again.
    pub fn serve(&self) {
        if let Some(place) = self.place.take() {
            self.slots.slots.borrow_mut().waiting.remove(&place);
        }
    }

    /// Completes when the connection is evicted and has to be closed.
    pub async fn evicted(&self) {
        if !self.is_evicted() {
            self.eviction.notify.notified().await;
        }
    }

    /// Returns whether the connection is evicted and has to be closed.
    #[must_use]
    pub fn is_evicted(&self) -> bool {
        self.eviction.has_happened.get()
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.serve();
        if !self.is_evicted() {
            self.slots.slots.borrow_mut().open -= 1;
        }
    }
}
