//! Room for the bodies of requests in the memory of a front.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::body_budget::{BodyBudget, Room, Ticket};

/// The memory that the bodies of all requests share.
#[derive(Debug, Default)]
pub(crate) struct BodyMemory {
    budget: RefCell<BodyBudget>,
    /// Notified when queued bodies may have room.
    changed: Notify,
}

/// There is no room for a body, and none is free soon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NoRoom;

/// Memory reserved for one body; free again once this is dropped.
#[derive(Debug)]
pub(crate) struct BodyRoom {
    memory: Rc<BodyMemory>,
    /// Maximum number of bytes of all bodies together.
    limit: usize,
    bytes: usize,
    max_wait: Duration,
    waited: Duration,
}

impl BodyMemory {
    /// Creates a reservation of no bytes. It waits for room for `max_wait` at most each time that it grows.
    pub(crate) fn room(self: &Rc<Self>, limit: usize, max_wait: Duration) -> BodyRoom {
        let (memory, waited) = (Rc::clone(self), Duration::ZERO);
        BodyRoom { memory, limit, bytes: 0, max_wait, waited }
    }

    fn record_change(&self) {
        self.changed.notify_waiters();
        metrics::gauge!("daisychute_body_bytes").set(self.budget.borrow().held() as f64);
        metrics::gauge!("daisychute_bodies_waiting").set(self.budget.borrow().waiting() as f64);
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
        let room = self.memory.budget.borrow_mut().reserve(self.limit, self.bytes, more);
        let granted = match room {
            Room::Granted => true,
            Room::Queued(ticket) => {
                metrics::counter!("daisychute_bodies_waited_total").increment(1);
                let started = Instant::now();
                let granted = self.wait(ticket).await;
                self.waited += started.elapsed();
                granted
            }
            Room::Refused => false,
        };
        if granted {
            self.bytes += more;
        }
        self.memory.record_change();
        if granted { Ok(()) } else { Err(NoRoom) }
    }

    /// Waits until the queued bytes are reserved. Returns `false`, and leaves the line, if that takes too long.
    async fn wait(&self, ticket: Ticket) -> bool {
        let deadline = Instant::now() + self.max_wait;
        loop {
            let changed = self.memory.changed.notified();
            if self.memory.budget.borrow_mut().claim(self.limit, ticket) {
                return true;
            }
            if timeout_at(deadline, changed).await.is_err() {
                self.memory.budget.borrow_mut().withdraw(ticket);
                return false;
            }
        }
    }
}

impl Drop for BodyRoom {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.memory.budget.borrow_mut().release(self.bytes);
            self.memory.record_change();
        }
    }
}
