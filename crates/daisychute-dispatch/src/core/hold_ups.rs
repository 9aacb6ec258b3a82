//! Times in which a front didn't run, after which it has news to catch up with.

use std::time::Duration;

use daisychute_core::Time;

/// When this front last ran, by its ticks.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct HoldUps {
    /// `None` before the first tick.
    last_tick: Option<Time>,
    /// The last time for which the front was held up; `None` if it never was.
    last: Option<HoldUp>,
}

/// A time for which a front was held up.
#[derive(Debug, Clone, Copy)]
struct HoldUp {
    /// The last tick before it.
    after: Time,
    /// The first tick since.
    until: Time,
}

impl HoldUps {
    /// Time between two ticks from which the front counts as held up: several times the interval of ticks.
    const MAX_TICK_GAP: Duration = Duration::from_secs(1);
    /// Time that a front needs to learn what happened meanwhile.
    const CATCH_UP_TIME: Duration = Duration::from_secs(1);

    pub(crate) fn record_tick(&mut self, now: Time) {
        if let Some(after) = self.last_tick.replace(now)
            && now.since(after) >= Self::MAX_TICK_GAP
        {
            self.last = Some(HoldUp { after, until: now });
        }
    }

    /// Whether the front was held up after this time, and may not have learned yet what happened meanwhile.
    pub(crate) fn may_lack_news(&self, now: Time, since: Time) -> bool {
        let is_recent = |it: &HoldUp| now.since(it.until) < Self::CATCH_UP_TIME;
        let past = self.last.filter(is_recent).map(|it| it.after);
        let present = self.last_tick.filter(|it| now.since(*it) >= Self::MAX_TICK_GAP);
        // What began so long after the tick began once the front went on.
        past.into_iter().chain(present).any(|it| since < it + Self::MAX_TICK_GAP)
    }
}
