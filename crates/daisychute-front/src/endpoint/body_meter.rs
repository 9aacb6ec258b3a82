//! Measures response bodies, and keeps large ones from taking the processor of other requests.

use std::rc::Rc;
use std::time::{Duration, Instant};

use daisychute_dispatch::{Event, RequestKey};

use crate::Dialect;
use crate::pacing::{LARGE_BODY_BYTES, Pacer, ProcessorTime};
use crate::state::FrontState;

/// The body of one response.
pub(crate) struct BodyMeter<'a, D> {
    state: &'a Rc<FrontState<D>>,
    key: RequestKey,
    processor: &'a ProcessorTime,
    begun_at: Instant,
    /// Processor time before the body.
    processor_before: Duration,
    pacer: Pacer<'a>,
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
        Self {
            state,
            key,
            processor,
            begun_at: Instant::now(),
            processor_before: processor.total(),
            pacer: Pacer::new(processor, &state.large_responses),
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
        if self.bytes >= self.next_report {
            self.next_report = self.bytes * 2;
            let busy = self.processor.total().saturating_sub(self.processor_before);
            let waited = self.begun_at.elapsed().saturating_sub(self.held_back + busy);
            let bytes = self.bytes as u64;
            self.state.handle(Event::ResponseGrew { key: self.key, bytes, waited });
        }
        let begun_at = Instant::now();
        self.pacer.wait_turn().await;
        self.held_back += begun_at.elapsed();
    }
}
