//! Bounds the memory that bodies of requests take.

use std::collections::VecDeque;

/// The bytes that a front holds of its clients' request bodies, bounded together.
///
/// The last part of the limit is open to small bodies only, so that large ones don't keep them waiting. Bodies that
/// find no room wait in line: first those that have begun and grow, then small ones, then the others. None waits that
/// holds more than a small body, as bodies that hold memory and wait for more could wait for each other.
///
/// ```
/// use daisychute_front::{BodyBudget, Room};
///
/// let mut budget = BodyBudget::default();
/// assert_eq!(budget.reserve(1 << 20, 0, 800 << 10), Room::Granted);
/// let Room::Queued(ticket) = budget.reserve(1 << 20, 0, 800 << 10) else { panic!("no room is left") };
/// budget.release(800 << 10);
/// assert!(budget.claim(1 << 20, ticket));
/// ```
#[derive(Debug, Default)]
pub struct BodyBudget {
    /// Reserved bytes.
    held: usize,
    /// Bodies that wait, in the order in which they get room.
    queue: VecDeque<QueuedBody>,
    /// Sum of the bytes that queued bodies wait for.
    queued: usize,
    next_ticket: u64,
}

/// Identifies a body that waits for room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket(u64);

/// Whether there is room for a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// The bytes are reserved.
    Granted,
    /// The body waits in line and has to [`claim`](BodyBudget::claim) its bytes.
    Queued(Ticket),
    /// The body can't get room soon: it is larger than all room, too many bytes are waited for, or it holds too much to wait.
    Refused,
}

#[derive(Debug, Clone, Copy)]
struct QueuedBody {
    ticket: Ticket,
    bytes: usize,
    is_small: bool,
    /// Whether bytes of the body are held.
    has_begun: bool,
}

impl BodyBudget {
    /// Maximum size of a small body, in bytes.
    pub const SMALL_BYTES: usize = 64 * 1024;
    /// Large bodies leave the limit divided by this to small ones.
    const SMALL_SHARE: usize = 8;

    /// Reserves `more` bytes for a body that has `held` bytes reserved. All bodies together may hold `limit` bytes.
    pub fn reserve(&mut self, limit: usize, held: usize, more: usize) -> Room {
        let is_small = held + more <= Self::SMALL_BYTES;
        let has_begun = held > 0;
        let body =
            QueuedBody { ticket: Ticket(self.next_ticket), bytes: more, is_small, has_begun };
        let first = self.queue.front().copied();
        let begun_waits = first.is_some_and(|it| it.has_begun);
        let may_wait = held <= Self::SMALL_BYTES;
        // Small bodies pass the line: what large ones leave isn't theirs.
        let goes_first = is_small || first.is_none() || (has_begun && !begun_waits) || !may_wait;
        if goes_first && self.fits(limit, body) {
            self.held += more;
            return Room::Granted;
        }
        let never_fits = held + more > Self::ceiling(limit, is_small);
        // Small bodies that wait hold nothing, and there are no more of them than connections.
        let is_full = self.queued + more > limit && !is_small;
        if never_fits || !may_wait || (is_full && !self.displace(more)) {
            return Room::Refused;
        }
        self.next_ticket += 1;
        self.queued += more;
        let index = match has_begun {
            true => self.queue.iter().take_while(|it| it.has_begun).count(),
            // Small bodies go before large ones that hold nothing.
            false if is_small => {
                self.queue.iter().take_while(|it| it.has_begun || it.is_small).count()
            }
            false => self.queue.len(),
        };
        self.queue.insert(index, body);
        Room::Queued(body.ticket)
    }

    /// Reserves the bytes of a queued body if it is first in line, or first of the small ones, and they are free. Returns
    /// whether they are reserved.
    pub fn claim(&mut self, limit: usize, ticket: Ticket) -> bool {
        let first = self.queue.front();
        let first_small = self.queue.iter().find(|it| it.is_small);
        let next = [first, first_small].into_iter().flatten().find(|it| it.ticket == ticket);
        let Some(body) = next.copied().filter(|it| self.fits(limit, *it)) else {
            return false;
        };
        self.withdraw(ticket);
        self.held += body.bytes;
        true
    }

    /// Removes the last queued body that is larger than this one and holds nothing. Returns whether there is one.
    fn displace(&mut self, bytes: usize) -> bool {
        let index = self.queue.iter().rposition(|it| !it.has_begun && it.bytes > bytes);
        let displaced = index.and_then(|it| self.queue.remove(it));
        self.queued -= displaced.map_or(0, |it| it.bytes);
        displaced.is_some()
    }

    /// Whether a body still waits: a smaller one may have taken its place.
    #[must_use]
    pub fn is_queued(&self, ticket: Ticket) -> bool {
        self.queue.iter().any(|it| it.ticket == ticket)
    }

    /// Returns how many bytes have to be freed until a queued body and those before it have room.
    #[must_use]
    pub fn shortfall(&self, limit: usize, ticket: Ticket) -> usize {
        let Some(index) = self.queue.iter().position(|it| it.ticket == ticket) else { return 0 };
        let needed: usize = self.queue.iter().take(index + 1).map(|it| it.bytes).sum();
        (self.held + needed).saturating_sub(Self::ceiling(limit, self.queue[index].is_small))
    }

    /// Removes a body from the queue.
    pub fn withdraw(&mut self, ticket: Ticket) {
        let index = self.queue.iter().position(|it| it.ticket == ticket);
        if let Some(body) = index.and_then(|it| self.queue.remove(it)) {
            self.queued -= body.bytes;
        }
    }

    /// Frees reserved bytes.
    pub const fn release(&mut self, bytes: usize) {
        self.held -= bytes;
    }

    /// Returns the number of reserved bytes.
    #[must_use]
    pub const fn held(&self) -> usize {
        self.held
    }

    /// Returns the number of queued bodies.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    const fn fits(&self, limit: usize, body: QueuedBody) -> bool {
        self.held + body.bytes <= Self::ceiling(limit, body.is_small)
    }

    /// Returns how many bytes may be held in total once a body of this kind is admitted.
    const fn ceiling(limit: usize, is_small: bool) -> usize {
        if is_small { limit } else { limit - limit / Self::SMALL_SHARE }
    }
}
