//! How long the endpoints of a service take, learned from their answers.

use std::time::Duration;

use daisychute_policy::cost::{LeastSquares, RobustMean};

/// Who reads a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reader {
    /// An engine that only reads prompts.
    Prefill,
    /// An engine that generates beside it.
    Whole,
}

/// The reading of a prompt: the tokens that must be read, after those that are kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Reading {
    pub(crate) kept: u32,
    pub(crate) unread: u32,
}

impl Reading {
    /// Thousands of tokens, millions of pairs of a token with one before it, and a constant: attention makes reading
    /// grow with the pairs, everything else with the tokens.
    fn features(self) -> [f64; 3] {
        let (kept, unread) = (f64::from(self.kept), f64::from(self.unread));
        let pairs = unread * (kept + unread / 2.0);
        [unread / 1e3, pairs / 1e6, 1.0]
    }
}

/// The learned cost of work at the endpoints of one service.
#[derive(Debug, Clone)]
pub(crate) struct ServiceModel {
    prefill: LeastSquares,
    whole: LeastSquares,
    /// Milliseconds that a request holds its slot.
    hold: RobustMean,
}

impl ServiceModel {
    /// Prior for an engine that only reads: ms for a thousand tokens, for a million pairs, and for a call.
    const PREFILL_PRIOR: [f64; 3] = [15.0, 0.4, 5.0];
    /// Prior for an engine that generates beside it, at half the speed.
    const WHOLE_PRIOR: [f64; 3] = [30.0, 0.8, 10.0];
    /// Prior for the time in a slot, in ms.
    const HOLD_PRIOR: f64 = 50.0;
    /// Fewer tokens than this tell little about the rate: fixed costs prevail.
    const FEWEST_TOKENS: u32 = 1_000;

    pub(crate) fn new() -> Self {
        Self {
            prefill: LeastSquares::new(Self::PREFILL_PRIOR),
            whole: LeastSquares::new(Self::WHOLE_PRIOR),
            hold: RobustMean::new(Self::HOLD_PRIOR),
        }
    }

    /// An idle endpoint took `elapsed` for a reading.
    pub(crate) fn learn(&mut self, reader: Reader, reading: Reading, elapsed: Duration) {
        if reading.unread >= Self::FEWEST_TOKENS {
            let ms = elapsed.as_secs_f64() * 1e3;
            self.rate_mut(reader).add(reading.features(), ms);
        }
    }

    fn rate_mut(&mut self, reader: Reader) -> &mut LeastSquares {
        match reader {
            Reader::Prefill => &mut self.prefill,
            Reader::Whole => &mut self.whole,
        }
    }

    /// A request held its slot for `elapsed`.
    pub(crate) fn held(&mut self, elapsed: Duration) {
        self.hold.add(elapsed.as_secs_f64() * 1e3);
    }

    /// How long a reading takes, in ms.
    pub(crate) fn read_ms(&self, reader: Reader, reading: Reading) -> f64 {
        if reading.unread == 0 {
            return 0.0;
        }
        let rate = match reader {
            Reader::Prefill => &self.prefill,
            Reader::Whole => &self.whole,
        };
        rate.predict(reading.features())
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
