//! Room for the bodies of requests in the memory of a front.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use daisychute_runtime::Clock;
use rustc_hash::FxHashMap;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::CapacityLimits;
use crate::body_budget::{BodyBudget, Room, Ticket};
use crate::body_progress::{BodyKey, BodyProgress};

/// Interval at which a body that waits for memory looks for others that have stalled.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of connections that there may be, however much bodies hold.
const MIN_CONNECTIONS: usize = 16;
/// Part of the bodies' memory that may be held altogether while more is taken than is needed, as a divisor.
const SPARE_DIVISOR: usize = 2;

/// The memory that the connections of clients and the bodies of their requests share.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    clock: Clock,
    /// Maximum number of bytes of all connections and bodies together.
    limit: Cell<usize>,
    /// Number of open connections.
    connections: Cell<usize>,
    budget: RefCell<BodyBudget>,
    progress: RefCell<BodyProgress>,
    /// Notified when a body that is being received has to give its memory up.
    yields: RefCell<FxHashMap<BodyKey, Rc<Notify>>>,
    /// Notified when queued bodies may have room.
    changed: Notify,
}

/// Memory of one connection; free again once this is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionRoom(Rc<BodyMemory>);

impl Drop for ConnectionRoom {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
        self.0.changed.notify_waiters();
    }
}

/// Memory beyond what a connection is sure to have; free again once this is dropped.
#[derive(Debug)]
pub(crate) struct SpareRoom {
    memory: Rc<BodyMemory>,
    bytes: usize,
}

impl Drop for SpareRoom {
    fn drop(&mut self) {
        self.memory.budget.borrow_mut().release(self.bytes);
        self.memory.record_change();
    }
}

/// There is no room for a body, and none is free soon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NoRoom;

/// Memory reserved for one body; free again once this is dropped.
#[derive(Debug)]
pub(crate) struct BodyRoom {
    memory: Rc<BodyMemory>,
    /// Identifies the body until it is received.
    key: BodyKey,
    yields: Rc<Notify>,
    bytes: usize,
    max_wait: Duration,
    waited: Duration,
}

impl BodyMemory {
    pub(crate) fn new() -> Rc<Self> {
        Rc::new(Self {
            clock: Clock::start(),
            limit: Cell::default(),
            connections: Cell::default(),
            budget: RefCell::default(),
            progress: RefCell::default(),
            yields: RefCell::default(),
            changed: Notify::new(),
        })
    }

    /// Sets how many bytes all connections and bodies together may take from now on.
    pub(crate) fn set_limit(&self, bytes: usize) {
        self.limit.set(bytes);
    }

    /// Takes the memory of a connection.
    pub(crate) fn admit_connection(self: &Rc<Self>) -> ConnectionRoom {
        self.connections.set(self.connections.get() + 1);
        ConnectionRoom(Rc::clone(self))
    }

    /// Returns how many connections there may be beside the bodies: a few in any case.
    pub(crate) fn max_connections(&self) -> usize {
        let free = self.limit.get().saturating_sub(self.budget.borrow().held());
        (free / CapacityLimits::CONNECTION_BYTES).max(MIN_CONNECTIONS)
    }

    /// Returns how many bytes the bodies may hold beside the connections.
    fn body_limit(&self) -> usize {
        self.limit.get().saturating_sub(self.connections.get() * CapacityLimits::CONNECTION_BYTES)
    }

    /// Creates a reservation of no bytes. It waits for room for `max_wait` at most each time that it grows.
    pub(crate) fn room(self: &Rc<Self>, max_wait: Duration) -> BodyRoom {
        let key = self.progress.borrow_mut().begin(self.clock.now());
        let yields = Rc::new(Notify::new());
        self.yields.borrow_mut().insert(key, Rc::clone(&yields));
        let (memory, waited) = (Rc::clone(self), Duration::ZERO);
        BodyRoom { memory, key, yields, bytes: 0, max_wait, waited }
    }

    /// Takes memory that nobody else needs or waits for. `None` if there isn't as much.
    pub(crate) fn spare_room(self: &Rc<Self>, bytes: usize) -> Option<SpareRoom> {
        let mut budget = self.budget.borrow_mut();
        let is_spare = budget.waiting() == 0
            && budget.held() + bytes <= self.body_limit() / SPARE_DIVISOR
            && budget.reserve(self.body_limit(), 0, bytes) == Room::Granted;
        is_spare.then(|| SpareRoom { memory: Rc::clone(self), bytes })
    }

    fn record_change(&self) {
        self.changed.notify_waiters();
        metrics::gauge!("daisychute_body_bytes").set(self.budget.borrow().held() as f64);
        metrics::gauge!("daisychute_bodies_waiting").set(self.budget.borrow().waiting() as f64);
    }

    /// Tells bodies that have stalled to give their memory up, as far as a queued body needs it.
    fn reclaim(&self, ticket: Ticket) {
        let needed = self.budget.borrow().shortfall(self.body_limit(), ticket);
        let stalled = self.progress.borrow_mut().yield_for(self.clock.now(), needed);
        let yields = self.yields.borrow();
        stalled.iter().filter_map(|it| yields.get(it)).for_each(|it| it.notify_one());
    }

    fn end_receiving(&self, key: BodyKey) {
        self.progress.borrow_mut().end(key);
        self.yields.borrow_mut().remove(&key);
    }
}

impl BodyRoom {
    /// Returns the number of reserved bytes.
    pub(crate) const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the time for which the body has waited for room.
    pub(crate) const fn waited(&self) -> Duration {
        self.waited
    }

    /// Reserves `more` bytes, and waits for them if need be.
    pub(crate) async fn grow(&mut self, more: usize) -> Result<(), NoRoom> {
        let limit = self.memory.body_limit();
        let room = self.memory.budget.borrow_mut().reserve(limit, self.bytes, more);
        let granted = match room {
            Room::Granted => true,
            Room::Queued(ticket) => {
                metrics::counter!("daisychute_bodies_waited_total").increment(1);
                let started = Instant::now();
                self.memory.progress.borrow_mut().wait(self.key);
                let granted = self.wait(ticket).await;
                self.waited += started.elapsed();
                granted
            }
            Room::Refused => false,
        };
        if granted {
            self.bytes += more;
            let now = self.memory.clock.now();
            self.memory.progress.borrow_mut().hold(now, self.key, self.bytes);
        }
        self.memory.record_change();
        if granted { Ok(()) } else { Err(NoRoom) }
    }

    /// Waits until the queued bytes are reserved. Returns `false`, and leaves the line, if that takes too long.
    async fn wait(&self, ticket: Ticket) -> bool {
        let _queued = QueuedTicket { memory: &self.memory, ticket };
        let deadline = Instant::now() + self.max_wait;
        loop {
            let changed = self.memory.changed.notified();
            let limit = self.memory.body_limit();
            if self.memory.budget.borrow_mut().claim(limit, ticket) {
                return true;
            }
            if Instant::now() >= deadline || !self.memory.budget.borrow().is_queued(ticket) {
                return false;
            }
            self.memory.reclaim(ticket);
            let next_check = deadline.min(Instant::now() + STALL_CHECK_INTERVAL);
            // Either way the budget is asked again.
            let _ = timeout_at(next_check, changed).await;
        }
    }

    /// Frees all but this many bytes.
    pub(crate) fn shrink(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.bytes -= excess;
        self.memory.budget.borrow_mut().release(excess);
        self.memory.record_change();
    }

    /// Records how many bytes of the body have been received in total.
    pub(crate) fn record_received(&self, bytes: usize) {
        let now = self.memory.clock.now();
        self.memory.progress.borrow_mut().receive(now, self.key, bytes);
    }

    /// Records that the body is received. Its memory stays reserved.
    pub(crate) fn end_receiving(&self) {
        self.memory.end_receiving(self.key);
    }

    /// Waits until the body has to give its memory up, as it has stalled and others wait.
    pub(crate) async fn yielded(&self) {
        self.yields.notified().await;
    }
}

impl Drop for BodyRoom {
    fn drop(&mut self) {
        self.memory.end_receiving(self.key);
        if self.bytes > 0 {
            self.memory.budget.borrow_mut().release(self.bytes);
            self.memory.record_change();
        }
    }
}

/// A place in the line for memory, which is left once this is dropped.
struct QueuedTicket<'a> {
    memory: &'a BodyMemory,
    ticket: Ticket,
}

impl Drop for QueuedTicket<'_> {
    fn drop(&mut self) {
        // A ticket that got its memory isn't in the line any more.
        self.memory.budget.borrow_mut().withdraw(self.ticket);
    }
}
