//! What the planner remembers of one model.

use daisychute_core::Time;

use super::demand::Demand;
use super::forecast::Forecast;

/// Engines that each phase needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Need {
    pub(super) prefill: f64,
    pub(super) decode: f64,
    pub(super) deferrable: f64,
}

/// The demand for one model over time, and how long a lean of its mix lasts.
#[derive(Debug, Clone)]
pub(super) struct Track {
    prefill: Forecast,
    decode: Forecast,
    deferrable: Forecast,
    mean_share: f64,
    lean: i8,
    lean_since: Time,
    /// Seconds that a lean of the mix lasts.
    dwell: f64,
    last: Time,
}

impl Track {
    const DEFAULT_DWELL: f64 = 60.0;
    const MAX_DWELL: f64 = 300.0;
    const DWELL_GAIN: f64 = 0.4;
    const SHARE_MEMORY: f64 = 120.0;
    const LEAN_BAND: f64 = 0.05;
    /// A backlog is meant to be worked off in this many seconds.
    const BACKLOG_SECONDS: f64 = 10.0;
    /// Demand that fills more than this part of the engines leaves no room for peaks that are over.
    const FILL: f64 = 0.8;

    pub(super) fn new(now: Time) -> Self {
        Self {
            prefill: Forecast::default(),
            decode: Forecast::default(),
            deferrable: Forecast::default(),
            mean_share: 0.5,
            lean: 0,
            lean_since: now,
            dwell: Self::DEFAULT_DWELL,
            last: now,
        }
    }

    /// Takes in the demand since the last time; peaks are remembered for `memory` seconds.
    pub(super) fn add(&mut self, now: Time, demand: Demand, memory: f64) {
        let seconds = now.since(self.last).as_secs_f64().max(0.1);
        self.last = now;
        let prefill = demand.prefill + demand.prefill_backlog / Self::BACKLOG_SECONDS;
        self.prefill.add(prefill, seconds, memory);
        self.decode.add(demand.decode.max(demand.decode_busy), seconds, memory);
        self.deferrable.add(demand.deferrable, seconds, memory);
        self.follow_lean(now, seconds);
    }

    /// Seconds that the present mix is likely to last.
    pub(super) fn dwell(&self) -> f64 {
        self.dwell
    }

    /// What is needed `horizon` seconds from now: the forecast, raised towards the recent peaks as far as the engines
    /// suffice for both.
    pub(super) fn need(&self, horizon: f64, engines: f64) -> Need {
        let (prefill, decode) = (self.prefill.at(horizon), self.decode.at(horizon));
        let extra_prefill = (self.prefill.peak() - prefill).max(0.0);
        let extra_decode = (self.decode.peak() - decode).max(0.0);
        let used = prefill + decode + self.deferrable.level();
        let room = (engines * Self::FILL - used).max(0.0);
        let extra = extra_prefill + extra_decode;
        let part = if extra > 0.0 { (room / extra).min(1.0) } else { 0.0 };
        Need {
            prefill: prefill + part * extra_prefill,
            decode: decode + part * extra_decode,
            deferrable: self.deferrable.level(),
        }
    }

    fn follow_lean(&mut self, now: Time, seconds: f64) {
        let (prefill, decode) = (self.prefill.level(), self.decode.level());
        let total = prefill + decode;
        if total <= 0.0 {
            return;
        }
        let share = prefill / total;
        let gain = (seconds / Self::SHARE_MEMORY).min(1.0);
        self.mean_share += gain * (share - self.mean_share);
        let lean = match share - self.mean_share {
            it if it > Self::LEAN_BAND => 1,
            it if it < -Self::LEAN_BAND => -1,
            _ => return,
        };
        if lean == self.lean {
            return;
        }
        if self.lean != 0 {
            let lasted = now.since(self.lean_since).as_secs_f64();
            self.dwell += Self::DWELL_GAIN * (lasted.min(Self::MAX_DWELL) - self.dwell);
        }
        self.lean = lean;
        self.lean_since = now;
    }
}
