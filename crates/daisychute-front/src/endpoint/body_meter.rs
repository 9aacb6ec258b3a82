//! Measures response bodies, and keeps large ones from taking the processor of other requests.

use std::cell::Cell;
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use daisychute_dispatch::{Event, RequestKey};
use tokio::time::sleep_until;

use crate::Dialect;
use crate::state::FrontState;

/// Size from which a response is large, in bytes.
const LARGE_BODY_BYTES: usize = 64 * 1024;
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
    fn total(&self) -> Duration {
        self.ended.get() + self.polled_at.get().map_or(Duration::ZERO, |it| it.elapsed())
    }
}

/// The body of one response.
pub(crate) struct BodyMeter<'a, D> {
    state: &'a Rc<FrontState<D>>,
    key: RequestKey,
    processor: &'a ProcessorTime,
    begun_at: Instant,
    /// Processor time before the body.
    processor_before: Duration,
    /// Processor time that was charged to large bodies, or was before the body.
    charged: Duration,
    /// Time for which the body waited for its turn.
    held_back: Duration,
    bytes: usize,
    /// Size at which the dispatcher is told next.
    next_report: usize,
}

impl<'a, D: Dialect> BodyMeter<'a, D> {
    /// Creates a meter for the body of the response to a request, whose processor time is measured.
    pub(crate) fn new(
        state: &'a Rc<FrontState<D>>,
        key: RequestKey,
        processor: &'a ProcessorTime,
    ) -> Self {
        let processor_before = processor.total();
        Self {
            state,
            key,
            processor,
            begun_at: Instant::now(),
            processor_before,
            charged: processor_before,
            held_back: Duration::ZERO,
            bytes: 0,
            next_report: LARGE_BODY_BYTES,
        }
    }

    /// Counts bytes that are to be passed on. Waits for the turn of this body if it is large.
    pub(crate) async fn record(&mut self, count: usize) {
        self.bytes += count;
        if self.bytes < LARGE_BODY_BYTES {
            return;
        }
        let processor = self.processor.total();
        if self.bytes >= self.next_report {
            self.next_report = self.bytes * 2;
            let busy = processor.saturating_sub(self.processor_before);
            let waited = self.begun_at.elapsed().saturating_sub(self.held_back + busy);
            let bytes = self.bytes as u64;
            self.state.handle(Event::ResponseGrew { key: self.key, bytes, waited });
        }
        let cost = processor.saturating_sub(self.charged);
        self.charged = processor;
        let begun_at = Instant::now();
        self.state.large_bodies.wait_turn(cost).await;
        self.held_back += begun_at.elapsed();
    }
}

/// The processor time that all large bodies take together.
#[derive(Debug, Default)]
pub(crate) struct LargeBodies {
    /// When they may take more; `None` before the first ones.
    free_at: Cell<Option<Instant>>,
}

impl LargeBodies {
    /// Waits until large bodies may take more time, after one has taken `cost`.
    async fn wait_turn(&self, cost: Duration) {
        let now = Instant::now();
        let earliest = now.checked_sub(BURST).unwrap_or(now);
        let free_at = self.free_at.get().map_or(earliest, |it| it.max(earliest));
        let free_at = free_at + cost.div_f64(PROCESSOR_SHARE);
        self.free_at.set(Some(free_at));
        if free_at > now {
            sleep_until(free_at.into()).await;
        }
    }
}
