//! Cost model of a service's endpoints, learned from measured response times.

use std::time::Duration;

use daisychute_core::Time;
use daisychute_policy::cost::{LeastSquares, RobustMean};

use crate::{RecentDelay, WaitFactor, WorkRate};

/// Kind of engine that prefills a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PrefillEngine {
    /// The engine runs prefills only.
    Dedicated,
    /// The engine also generates outputs.
    Combined,
}

/// Prefill work for a prompt: the tokens to compute (`uncached`) after those in the prefix cache (`cached`).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PrefillWork {
    pub(crate) cached: u32,
    pub(crate) uncached: u32,
}

impl PrefillWork {
    /// Returns thousands of tokens, and millions of pairs of a token and one before it. The cost of attention grows
    /// with the pairs, everything else with the tokens.
    fn features(self) -> [f64; 2] {
        let (cached, uncached) = (f64::from(self.cached), f64::from(self.uncached));
        let pairs = uncached * (cached + uncached / 2.0);
        [uncached / 1e3, pairs / 1e6]
    }
}

/// Learned prefill time of one kind of engine.
#[derive(Debug, Clone)]
struct PrefillTime {
    /// Time for a thousand tokens and for a million pairs, in ms. The engine is busy for this time.
    rate: LeastSquares<2>,
    /// Time from the end of the prefill to the first output, in ms. Doesn't delay other requests.
    latency: RobustMean,
    /// How much later than predicted prefills ended lately.
    delay: RecentDelay,
    /// Which share of the predicted waits prompts really waited.
    wait_factor: WaitFactor,
    /// Work that this front sends.
    work_rate: WorkRate,
}

impl PrefillTime {
    /// Prompts with at least this many uncached tokens update the rate, shorter ones the latency.
    const MIN_RATE_TOKENS: u32 = 1_000;
    /// Time that even the shortest prefill occupies an engine, in ms: about one engine step.
    const MIN_PREFILL_MS: f64 = 3.0;

    fn new(rate: [f64; 2], latency_ms: f64) -> Self {
        Self {
            rate: LeastSquares::new(rate),
            latency: RobustMean::new(latency_ms),
            delay: RecentDelay::default(),
            wait_factor: WaitFactor::default(),
            work_rate: WorkRate::default(),
        }
    }

    fn learn(&mut self, work: PrefillWork, ms: f64) {
        if work.uncached >= Self::MIN_RATE_TOKENS {
            self.rate.add(work.features(), ms - self.latency.get());
        } else {
            self.latency.add(ms - self.rate.predict(work.features()));
        }
    }

    fn prefill_ms(&self, work: PrefillWork) -> f64 {
        if work.uncached == 0 {
            0.0
        } else {
            self.rate.predict(work.features()) + Self::MIN_PREFILL_MS
        }
    }
}

/// Learned cost of requests at the endpoints of one service.
#[derive(Debug, Clone)]
pub(crate) struct ServiceCostModel {
    dedicated: PrefillTime,
    combined: PrefillTime,
    /// Time that a request occupies its slot, in ms.
    slot_ms: RobustMean,
}

impl ServiceCostModel {
    /// Prior for a dedicated prefill engine: ms for a thousand tokens, and for a million pairs.
    const DEDICATED_PRIOR: [f64; 2] = [15.0, 0.4];
    /// Prior for an engine that also generates, which prefills at half the speed.
    const COMBINED_PRIOR: [f64; 2] = [30.0, 0.8];
    /// Prior for the time from the end of the prefill to the first output, in ms.
    const LATENCY_PRIOR_MS: f64 = 50.0;
    /// Prior for the time that a request occupies its slot, in ms.
    const SLOT_PRIOR_MS: f64 = 50.0;

    pub(crate) fn new() -> Self {
        Self {
            dedicated: PrefillTime::new(Self::DEDICATED_PRIOR, Self::LATENCY_PRIOR_MS),
            combined: PrefillTime::new(Self::COMBINED_PRIOR, Self::LATENCY_PRIOR_MS),
            slot_ms: RobustMean::new(Self::SLOT_PRIOR_MS),
        }
    }

    /// Learns from a prefill that took an idle endpoint `elapsed`, the latency to the first output included.
    pub(crate) fn learn(&mut self, engine: PrefillEngine, work: PrefillWork, elapsed: Duration) {
        if work.uncached == 0 {
            return;
        }
        let ms = elapsed.as_secs_f64() * 1e3;
        self.prefill_time_mut(engine).learn(work, ms);
    }

    /// Learns how much later than predicted a prefill ended.
    pub(crate) fn learn_delay(
        &mut self,
        now: Time,
        engine: PrefillEngine,
        predicted: Duration,
        took: Duration,
    ) {
        self.prefill_time_mut(engine).delay.learn(now, predicted, took);
    }

    /// Learns how long a prompt waited, where `predicted` was expected without the wait factor.
    pub(crate) fn learn_wait(
        &mut self,
        engine: PrefillEngine,
        predicted: Duration,
        measured: Duration,
    ) {
        self.prefill_time_mut(engine).wait_factor.learn(predicted, measured);
    }

    /// Returns the factor by which predicted waiting times of prompts are multiplied.
    pub(crate) fn wait_factor(&self, engine: PrefillEngine) -> f64 {
        self.prefill_time(engine).wait_factor.get()
    }

    /// Returns how much later than predicted prefills ended lately, in ms.
    pub(crate) fn delay_ms(&self, now: Time, engine: PrefillEngine) -> f64 {
        self.prefill_time(engine).delay.ms(now)
    }

    /// Counts a prompt that was sent and takes its engine so many ms.
    pub(crate) fn record_work(&mut self, now: Time, engine: PrefillEngine, ms: f64) {
        self.prefill_time_mut(engine).work_rate.add(now, ms);
    }

    /// Returns the rate at which this front sends prefill work, in ms per ms.
    pub(crate) fn work_rate(&self, now: Time, engine: PrefillEngine) -> f64 {
        self.prefill_time(engine).work_rate.get(now)
    }

    const fn prefill_time_mut(&mut self, engine: PrefillEngine) -> &mut PrefillTime {
        match engine {
            PrefillEngine::Dedicated => &mut self.dedicated,
            PrefillEngine::Combined => &mut self.combined,
        }
    }

    const fn prefill_time(&self, engine: PrefillEngine) -> &PrefillTime {
        match engine {
            PrefillEngine::Dedicated => &self.dedicated,
            PrefillEngine::Combined => &self.combined,
        }
    }

    /// Learns from a request that occupied its slot for `elapsed`.
    pub(crate) fn learn_slot_time(&mut self, elapsed: Duration) {
        self.slot_ms.add(elapsed.as_secs_f64() * 1e3);
    }

    /// Returns the predicted time that a prefill occupies its engine, in ms.
    pub(crate) fn prefill_ms(&self, engine: PrefillEngine, work: PrefillWork) -> f64 {
        self.prefill_time(engine).prefill_ms(work)
    }

    /// Returns the predicted time from the end of the prefill to the first output.
    pub(crate) fn latency(&self, engine: PrefillEngine) -> Duration {
        Duration::from_secs_f64(self.prefill_time(engine).latency.get() / 1e3)
    }

    /// Returns how long a request waits for a slot if `requests_ahead` are at the endpoint already, in ms.
    pub(crate) fn slot_wait_ms(&self, requests_ahead: u32, slots: u32) -> f64 {
        let slots = slots.max(1);
        let queued = (requests_ahead + 1).saturating_sub(slots);
        f64::from(queued) * self.slot_ms.get() / f64::from(slots)
    }

    /// Returns the mean time that a request occupies its slot, in ms.
    pub(crate) fn mean_slot_ms(&self) -> f64 {
        self.slot_ms.get()
    }
}
