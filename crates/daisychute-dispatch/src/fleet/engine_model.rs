//! How long the endpoints of a service take, learned from their answers.

use std::time::Duration;

use daisychute_policy::cost::RobustMean;

/// The learned cost of work at the endpoints of one service.
#[derive(Debug, Clone)]
pub(crate) struct ServiceModel {
    /// Milliseconds for each prompt token at an engine that only reads prompts.
    prefill: RobustMean,
    /// Milliseconds for each prompt token at an engine that generates beside it.
    whole: RobustMean,
    /// Milliseconds that a request holds its slot.
    hold: RobustMean,
}

/// Who reads a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reader {
    Prefill,
    Whole,
}

impl ServiceModel {
    /// Prior for an engine that only reads, in ms a token; observations replace it within a few requests.
    const PREFILL_PRIOR: f64 = 0.015;
    /// Prior for an engine that generates beside it, in ms a token: reading has half of its steps.
    const WHOLE_PRIOR: f64 = 0.030;
    /// Prior for the time in a slot, in ms.
    const HOLD_PRIOR: f64 = 50.0;
    /// Fewer tokens than this tell little about the rate: fixed costs prevail.
    const FEWEST_TOKENS: u64 = 2_000;

    pub(crate) fn new() -> Self {
        Self {
            prefill: RobustMean::new(Self::PREFILL_PRIOR),
            whole: RobustMean::new(Self::WHOLE_PRIOR),
            hold: RobustMean::new(Self::HOLD_PRIOR),
        }
    }

    /// Reading `tokens`, those before it in the queue included, took `elapsed`.
    pub(crate) fn read(&mut self, reader: Reader, tokens: u64, elapsed: Duration) {
        if tokens < Self::FEWEST_TOKENS {
            return;
        }
        let each = elapsed.as_secs_f64() * 1e3 / tokens as f64;
        match reader {
            Reader::Prefill => self.prefill.add(each),
            Reader::Whole => self.whole.add(each),
        }
    }

    /// A request held its slot for `elapsed`.
    pub(crate) fn held(&mut self, elapsed: Duration) {
        self.hold.add(elapsed.as_secs_f64() * 1e3);
    }

    /// How long reading so many tokens takes, in ms.
    pub(crate) fn read_ms(&self, reader: Reader, tokens: u64) -> f64 {
        let each = match reader {
            Reader::Prefill => self.prefill.get(),
            Reader::Whole => self.whole.get(),
        };
        each * tokens as f64
    }

    /// How long a request waits for a slot when `total` requests are before it, in ms.
    pub(crate) fn slot_wait_ms(&self, total: u32, slots: u32) -> f64 {
        let slots = slots.max(1);
        let before = (total + 1).saturating_sub(slots);
        f64::from(before) * self.hold.get() / f64::from(slots)
    }

    /// The mean time in a slot, in ms.
    pub(crate) fn hold_ms(&self) -> f64 {
        self.hold.get()
    }
}
