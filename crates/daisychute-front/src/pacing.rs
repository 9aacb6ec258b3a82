//! Keeps large bodies from taking the processor of other requests.

use std::cell::Cell;
use std::future::poll_fn;
use std::pin::pin;
use std::time::{Duration, Instant};

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
}

impl<'a> Pacer<'a> {
    /// Creates a pacer for a body that begins now, and shares the processor with these others.
    pub(crate) fn new(processor: &'a ProcessorTime, bodies: &'a LargeBodies) -> Self {
        Self { processor, bodies, charged: processor.total() }
    }

    /// Waits until the body may take more time. Charges what it has taken since the last turn.
    pub(crate) async fn wait_turn(&mut self) {
        let processor = self.processor.total();
        let cost = processor.saturating_sub(self.charged);
        self.charged = processor;
        self.bodies.wait_turn(cost).await;
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
