//! Keeps large bodies from taking the processor of other requests.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio::time::sleep_until;

/// Size from which a body is large, in bytes.
pub(crate) const LARGE_BODY_BYTES: usize = 64 * 1024;
/// Share of the processor that large bodies may take together.
const PROCESSOR_SHARE: f64 = 0.2;
/// Time whose share may be taken at once. Timers have a resolution of a millisecond.
const BURST: Duration = Duration::from_millis(8);

/// The processor time that a request has taken.
#[derive(Debug, Default)]
pub(crate) struct ProcessorTime {
    /// Time of the polls that have ended.
    ended: Cell<Duration>,
    /// Start of the present poll; `None` between two.
    polled_at: Cell<Option<Instant>>,
}

impl ProcessorTime {
    /// Runs the future of a request, and measures it.
    pub(crate) async fn measure<T>(&self, future: impl Future<Output = T>) -> T {
        let mut future = pin!(future);
        poll_fn(|cx| {
            self.polled_at.set(Some(Instant::now()));
            let poll = future.as_mut().poll(cx);
            self.ended.set(self.total());
            self.polled_at.set(None);
            poll
        })
        .await
    }

    /// The time so far, including the present poll.
    pub(crate) fn total(&self) -> Duration {
        self.ended.get() + self.polled_at.get().map_or(Duration::ZERO, |it| it.elapsed())
    }
}

/// Charges the processor time of one large body.
pub(crate) struct Pacer<'a> {
    processor: &'a ProcessorTime,
    bodies: &'a LargeBodies,
    /// Processor time that was charged, or was before the body.
    charged: Duration,
    /// Virtual time at which the last turn ended.
    finished: Duration,
}

impl<'a> Pacer<'a> {
    /// Creates a pacer for a body that begins now, and shares the processor with these others.
    pub(crate) fn new(processor: &'a ProcessorTime, bodies: &'a LargeBodies) -> Self {
        Self { processor, bodies, charged: processor.total(), finished: Duration::ZERO }
    }

    /// Waits until the body may take more time. Charges what it has taken since the last turn.
    pub(crate) async fn wait_turn(&mut self) {
        let processor = self.processor.total();
        let cost = processor.saturating_sub(self.charged);
        self.charged = processor;
        self.finished = self.bodies.wait_turn(self.finished, cost).await;
    }
}

/// The processor time that all large bodies take together.
///
/// Bodies take their turns by self-clocked fair queueing: those whose turns cost little don't wait behind the turns of
/// all that cost much, and each gets its turn in the end.
#[derive(Debug, Default)]
pub(crate) struct LargeBodies {
    /// When they may take more; `None` before the first ones.
    free_at: Cell<Option<Instant>>,
    /// The bodies that wait for their turns, by the virtual times at which these end, and then in order of arrival.
    line: RefCell<BTreeMap<Place, Rc<Notify>>>,
    next_arrival: Cell<u64>,
    /// Whether a body has its turn.
    is_taken: Cell<bool>,
    /// Virtual time at which the last turn ends.
    virtual_time: Cell<Duration>,
}

/// Virtual time at which a turn ends, and the number of its arrival.
type Place = (Duration, u64);

impl LargeBodies {
    /// Waits until a body may take more time that has taken `cost`, and whose last turn ended at this virtual time. Returns
    /// the virtual time at which this turn ends.
    async fn wait_turn(&self, last_finished: Duration, cost: Duration) -> Duration {
        let finish = last_finished.max(self.virtual_time.get()) + cost;
        let turn = self.join(finish);
        turn.begun().await;
        self.virtual_time.set(finish.max(self.virtual_time.get()));
        self.charge(cost).await;
        finish
    }

    fn join(&self, finish: Duration) -> Turn<'_> {
        let place = (finish, self.next_arrival.get());
        self.next_arrival.set(place.1 + 1);
        let called = Rc::new(Notify::new());
        self.line.borrow_mut().insert(place, Rc::clone(&called));
        Turn { bodies: self, place, called, has_begun: Cell::new(false) }
    }

    /// Waits until the share of all bodies covers this cost, too.
    async fn charge(&self, cost: Duration) {
        let now = Instant::now();
        let earliest = now.checked_sub(BURST).unwrap_or(now);
        let free_at = self.free_at.get().map_or(earliest, |it| it.max(earliest));
        let free_at = free_at + cost.div_f64(PROCESSOR_SHARE);
        self.free_at.set(Some(free_at));
        if free_at > now {
            sleep_until(free_at.into()).await;
        }
    }

    /// Calls the body whose turn is next.
    fn call_next(&self) {
        if let Some((_, next)) = self.line.borrow().first_key_value() {
            next.notify_one();
        }
    }
}

/// A turn of a body, or its place in the line for it. Others have theirs once this is dropped.
struct Turn<'a> {
    bodies: &'a LargeBodies,
    place: Place,
    called: Rc<Notify>,
    has_begun: Cell<bool>,
}

impl Turn<'_> {
    /// Waits until the turn begins.
    async fn begun(&self) {
        while self.bodies.is_taken.get() || !self.is_first() {
            self.called.notified().await;
        }
        self.bodies.line.borrow_mut().remove(&self.place);
        self.bodies.is_taken.set(true);
        self.has_begun.set(true);
    }

    fn is_first(&self) -> bool {
        let line = self.bodies.line.borrow();
        line.first_key_value().is_some_and(|(first, _)| *first == self.place)
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        if self.has_begun.get() {
            self.bodies.is_taken.set(false);
        } else {
            self.bodies.line.borrow_mut().remove(&self.place);
        }
        if !self.bodies.is_taken.get() {
            self.bodies.call_next();
        }
    }
}
