//! The demand for one model over time.

use daisychute_core::Time;

use super::demand::Demand;
use super::forecast::Forecast;

/// Number of engines that urgent prefill, urgent decode and deferrable work need.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct RequiredEngines {
    pub(super) prefill: f64,
    pub(super) decode: f64,
    pub(super) deferrable: f64,
}

/// Smoothed demand for one model, and how long its mix usually stays biased towards one phase.
#[derive(Debug, Clone)]
pub(super) struct DemandTrend {
    prefill: Forecast,
    decode: Forecast,
    deferrable: Forecast,
    // 1 if prefill was last the more utilized phase, -1 if decode was, 0 if neither has been.
    bias: i8,
    bias_since: Time,
    // Moving mean of the seconds that a bias lasted.
    bias_seconds: f64,
    // When demand was last added.
    last_added_at: Time,
}

impl DemandTrend {
    /// Expected seconds that a bias lasts before one has ended.
    const DEFAULT_BIAS_SECONDS: f64 = 60.0;
    /// Maximum seconds that a bias is expected to last.
    const MAX_BIAS_SECONDS: f64 = 900.0;
    /// Weight of the latest bias in the mean duration.
    const BIAS_SECONDS_GAIN: f64 = 0.4;
    /// A bias is expected to go on for at most this multiple of the time that it has lasted.
    const AGE_FACTOR: f64 = 3.0;
    /// Difference in utilization between the phases above which the mix counts as biased.
    const BIAS_THRESHOLD: f64 = 0.1;
    /// Seconds in which a prefill backlog should be worked off.
    const BACKLOG_SECONDS: f64 = 10.0;
    /// Share of the engines up to which recent peaks are planned for; capacity beyond it isn't reserved for them.
    const MAX_FILL: f64 = 0.8;

    pub(super) fn new(now: Time) -> Self {
        Self {
            prefill: Forecast::default(),
            decode: Forecast::default(),
            deferrable: Forecast::default(),
            bias: 0,
            bias_since: now,
            bias_seconds: Self::DEFAULT_BIAS_SECONDS,
            last_added_at: now,
        }
    }

    /// Adds the demand since the last call. Peaks decay with a time constant of `memory` seconds.
    pub(super) fn add(&mut self, now: Time, demand: Demand, memory: f64) {
        let seconds = now.since(self.last_added_at).as_secs_f64().max(0.1);
        self.last_added_at = now;
        let prefill = demand.prefill + demand.prefill_backlog / Self::BACKLOG_SECONDS;
        self.prefill.add(prefill, seconds, memory);
        self.decode.add(demand.decode.max(demand.decode_busy), seconds, memory);
        self.deferrable.add(demand.deferrable, seconds, memory);
    }

    /// Returns the engines to plan for: the current level, raised towards the recent peaks as far as `engines` suffice.
    pub(super) fn required_engines(&self, engines: f64) -> RequiredEngines {
        let (prefill, decode) = (self.prefill.level(), self.decode.level());
        let extra_prefill = (self.prefill.peak() - prefill).max(0.0);
        let extra_decode = (self.decode.peak() - decode).max(0.0);
        let used = prefill + decode + self.deferrable.level();
        let spare = (engines * Self::MAX_FILL - used).max(0.0);
        let extra = extra_prefill + extra_decode;
        let extra_share = if extra > 0.0 { (spare / extra).min(1.0) } else { 0.0 };
        RequiredEngines {
            prefill: prefill + extra_share * extra_prefill,
            decode: decode + extra_share * extra_decode,
            deferrable: self.deferrable.level(),
        }
    }

    /// Updates the bias of the mix, which is towards the phase with the higher utilization. Returns the seconds that
    /// the bias is expected to go on: a multiple of the time that it has lasted, but at most that time or the mean
    /// duration of earlier biases, whichever is longer.
    pub(super) fn update_bias(&mut self, now: Time, prefill: f64, decode: f64) -> f64 {
        let bias = match prefill - decode {
            it if it > Self::BIAS_THRESHOLD => 1,
            it if it < -Self::BIAS_THRESHOLD => -1,
            _ => 0,
        };
        if bias != 0 && bias != self.bias {
            if self.bias != 0 {
                let seconds = now.since(self.bias_since).as_secs_f64();
                self.bias_seconds += Self::BIAS_SECONDS_GAIN
                    * (seconds.min(Self::MAX_BIAS_SECONDS) - self.bias_seconds);
            }
            self.bias = bias;
            self.bias_since = now;
        }
        let age = now.since(self.bias_since).as_secs_f64();
        (age * Self::AGE_FACTOR).min(self.bias_seconds.max(age)).min(Self::MAX_BIAS_SECONDS)
    }
}
