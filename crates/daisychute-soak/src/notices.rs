//! Checks that fronts heed what workers announce in their responses.

use std::collections::HashMap;
use std::time::Duration;

use daisychute_platform_standin::{Announcement, AnnouncementKind, ReceivedRequest, Worker};
use tokio::time::Instant;

use crate::checks::{RequestRecord, Violation};

/// Time from a request for a pause after which nothing may reach the worker.
const PAUSE_GRACE: Duration = Duration::from_millis(500);
/// Time after the response of a leaving worker was passed on in which clients' requests may still be sent to it.
const DRAIN_TIME: Duration = Duration::from_secs(1);

/// Time until all fronts know the record of a newly started worker. Until then they take its announcements for those of
/// the start before, whose name it has; on the platform each start has a name of its own.
const RECORD_LAG: Duration = Duration::from_secs(2);

/// The announcements that were not heeded. Those near an unplanned fault, by `is_disturbed`, don't count: the front may
/// not have received them, or may have been suspended.
pub(crate) fn check_notices(
    workers: &[Worker],
    records: &[RequestRecord],
    is_disturbed: impl Fn(Instant, Instant) -> bool,
) -> Vec<Violation> {
    let records: HashMap<_, _> = records.iter().map(|it| (it.id.as_str(), it)).collect();
    let mut violations = Vec::new();
    for worker in workers {
        let seen = worker.seen();
        for announced in &seen.announcements {
            let Some(origin) = records.get(announced.id.as_str()) else { continue };
            let is_restart = |it: &&Announcement| it.kind == AnnouncementKind::Restarted;
            let restarts = || seen.announcements.iter().filter(is_restart).map(|it| it.at);
            let is_recent = |it: Instant| it <= announced.at && announced.at < it + RECORD_LAG;
            if restarts().any(is_recent) {
                continue;
            }
            let restarted_at = restarts().find(|it| *it >= announced.at);
            let of_front = seen.requests.iter().filter_map(|it| {
                let record = records.get(it.id.as_str())?;
                let before_restart = restarted_at.is_none_or(|at| it.at < at);
                (record.front == origin.front && before_restart).then_some((it, *record))
            });
            let unheeded: Vec<&ReceivedRequest> = match announced.kind {
                AnnouncementKind::Pause(pause) => {
                    let (from, to) = (announced.at + PAUSE_GRACE, announced.at + pause);
                    of_front.map(|it| it.0).filter(|it| from < it.at && it.at < to).collect()
                }
                AnnouncementKind::Leaving => {
                    let response = origin.response.as_ref();
                    let passed_on =
                        response.is_some_and(|it| it.header("server-leaving").is_some());
                    let since = origin.ended_at + DRAIN_TIME;
                    of_front.filter(|it| passed_on && it.1.sent_at > since).map(|it| it.0).collect()
                }
                AnnouncementKind::Restarted => Vec::new(),
            };
            let undisturbed =
                unheeded.iter().filter(|it| !is_disturbed(announced.at, it.at)).count();
            if undisturbed > 0 {
                violations.push(Violation::new(format!(
                    "{undisturbed} requests reached {} after {:?} in its response to {}",
                    worker.id(),
                    announced.kind,
                    announced.id,
                )));
            }
        }
    }
    violations
}
