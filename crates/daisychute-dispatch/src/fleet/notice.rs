//! What an endpoint announced in its responses, which binds whatever the directory says.

use std::time::Duration;

use daisychute_core::Time;

/// Announcements of one incarnation of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Notice {
    /// Time of the next health check of an endpoint that announced to leave; `None` if it didn't.
    leaving_check: Option<Time>,
}

impl Notice {
    /// Interval between the health checks that find out whether an endpoint stays after all. Longer than most endpoints
    /// serve on after their announcement.
    const LEAVING_CHECK_INTERVAL: Duration = Duration::from_secs(20);

    /// Records that the endpoint is leaving. Returns whether that is news.
    pub(crate) fn record_leaving(&mut self, now: Time) -> bool {
        let is_news = self.leaving_check.is_none();
        if is_news {
            self.leaving_check = Some(now + Self::LEAVING_CHECK_INTERVAL);
        }
        is_news
    }

    /// Records that the endpoint stays. Returns whether it had announced to leave.
    pub(crate) const fn record_staying(&mut self) -> bool {
        self.leaving_check.take().is_some()
    }

    pub(crate) const fn is_leaving(&self) -> bool {
        self.leaving_check.is_some()
    }

    /// Whether a health check of a leaving endpoint is due. Schedules the next one if it is.
    pub(crate) fn take_due_check(&mut self, now: Time) -> bool {
        let is_due = self.leaving_check.is_some_and(|it| it <= now);
        if is_due {
            self.leaving_check = Some(now + Self::LEAVING_CHECK_INTERVAL);
        }
        is_due
    }
}
