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
    lean: i8,
    lean_since: Time,
    /// Seconds that a lean of the mix lasts.
    dwell: f64,
    last: Time,
}

impl Track {
    const DEFAULT_DWELL: f64 = 60.0;
    const MAX_DWELL: f64 = 900.0;
    const DWELL_GAIN: f64 = 0.4;
    /// A lean that has lasted for a while is expected to go on for this multiple of it.
    const AGE_FACTOR: f64 = 3.0;
    const LEAN_BAND: f64 = 0.1;
    /// A backlog is meant to be worked off in this many seconds.
    const BACKLOG_SECONDS: f64 = 10.0;
    /// Demand that fills more than this part of the engines leaves no room for peaks that are over.
    const FILL: f64 = 0.8;

    pub(super) fn new(now: Time) -> Self {
        Self {
            prefill: Forecast::default(),
            decode: Forecast::default(),
            deferrable: Forecast::default(),
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
    }

    /// What is needed while a change takes effect: the present level, raised towards the recent peaks as far as the engines
    /// suffice for both.
    pub(super) fn need(&self, engines: f64) -> Need {
        let (prefill, decode) = (self.prefill.level(), self.decode.level());
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

    /// Takes in the utilization of both phases: a phase that is more in demand than the other makes the mix lean
    /// towards it. Gives the seconds that this is likely to go on: as a multiple of the time that it has lasted, and
    /// no more than such leans lasted before or than it has lasted itself.
    pub(super) fn lean(&mut self, now: Time, prefill: f64, decode: f64) -> f64 {
        let lean = match prefill - decode {
            it if it > Self::LEAN_BAND => 1,
            it if it < -Self::LEAN_BAND => -1,
            _ => 0,
        };
        if lean != 0 && lean != self.lean {
            if self.lean != 0 {
                let lasted = now.since(self.lean_since).as_secs_f64();
                self.dwell += Self::DWELL_GAIN * (lasted.min(Self::MAX_DWELL) - self.dwell);
            }
            self.lean = lean;
            self.lean_since = now;
        }
        let age = now.since(self.lean_since).as_secs_f64();
        (age * Self::AGE_FACTOR).min(self.dwell.max(age)).min(Self::MAX_DWELL)
    }
}
