//! Estimates true time from the clocks of all fronts.

use std::collections::BTreeMap;
use std::time::Duration;

use daisychute_core::Time;

use crate::UnixTime;

/// A clock that wasn't told for this long no longer counts: its front is gone, or this machine was suspended.
const MAX_AGE: Duration = Duration::from_secs(10);

/// Most clocks that are kept, as many as sources of a window.
const MAX_CLOCKS: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct Told {
    /// Wall clock less the own process's time, in milliseconds.
    offset: i64,
    at: Time,
}

/// True time as the median of the wall clocks of all fronts, so that a front whose clock jumps does not move its windows.
#[derive(Debug, Clone, Default)]
pub struct TrueTime {
    clocks: BTreeMap<u64, Told>,
    offset: Option<i64>,
}

impl TrueTime {
    /// Creates an estimate that has heard of no clock.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the wall clock of a source, as read at `now`, or received then. The own clock is told in the same way.
    pub fn told(&mut self, now: Time, source: u64, wall: UnixTime) {
        self.clocks.retain(|_, it| now.since(it.at) <= MAX_AGE);
        if !self.clocks.contains_key(&source) && self.clocks.len() >= MAX_CLOCKS {
            return;
        }
        self.clocks.insert(source, Told { offset: signed(wall.as_millis()) - at(now), at: now });
        self.offset = self.median();
    }

    /// True time at `now`; `None` before any clock was told.
    #[must_use]
    pub fn at(&self, now: Time) -> Option<UnixTime> {
        let millis = self.offset?.saturating_add(at(now));
        Some(UnixTime::from_millis(u64::try_from(millis).unwrap_or(0)))
    }

    /// The median. Of two middle values the one that is nearer to the former estimate, so that of two clocks the one
    /// that jumps is not followed.
    fn median(&self) -> Option<i64> {
        let mut offsets: Vec<i64> = self.clocks.values().map(|it| it.offset).collect();
        offsets.sort_unstable();
        let upper = *offsets.get(offsets.len() / 2)?;
        let lower = offsets[(offsets.len() - 1) / 2];
        let former = self.offset.unwrap_or(lower);
        Some(if upper.abs_diff(former) < lower.abs_diff(former) { upper } else { lower })
    }
}

fn at(now: Time) -> i64 {
    signed(now.as_micros() / 1_000)
}

fn signed(millis: u64) -> i64 {
    // Half the range leaves room for the difference of two values.
    i64::try_from(millis).unwrap_or(i64::MAX).min(i64::MAX / 2)
}
