//! Checks that the limits which workers name hold over all fronts.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use daisychute_platform_standin::Worker;
use tokio::time::Instant;

use crate::checks::{RequestRecord, Violation};

/// Time after the first response that named a limit from which it has to hold.
const STABLE: Duration = Duration::from_secs(3);
/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time in which a worker named a limit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LimitPeriod {
    pub(crate) worker: usize,
    /// Requests per second.
    pub(crate) limit: f64,
    pub(crate) from: Instant,
    pub(crate) to: Instant,
}

/// What came of the limits that workers named.
#[derive(Debug, Default)]
pub(crate) struct Limited {
    /// Number of windows that were checked, one for each request within a limit.
    windows: usize,
    /// Largest share of the bound that was used in one of them.
    largest_share: f64,
}

impl Limited {
    /// Whether anything was checked.
    pub(crate) const fn has_cases(&self) -> bool {
        self.windows > 0
    }
}

impl fmt::Display for Limited {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { windows, largest_share } = self;
        write!(f, "limits: {windows} windows, at most {largest_share:.2} of the bound")
    }
}

/// Checks the requests of clients that reached workers in these periods. Only those count at whose front nothing else went
/// wrong since the limit was named, by `in_touch`.
pub(crate) fn check_limits(
    workers: &[Worker],
    periods: &[LimitPeriod],
    records: &[RequestRecord],
    in_touch: impl Fn(Instant, &RequestRecord) -> bool,
) -> (Vec<Violation>, Limited) {
    let records: HashMap<_, _> = records.iter().map(|it| (it.id.as_str(), it)).collect();
    let (mut violations, mut result) = (Vec::new(), Limited::default());
    for LimitPeriod { worker, limit, from, to } in periods {
        let worker = &workers[*worker];
        let requests = worker.seen().requests;
        let counted = requests.iter().filter(|it| {
            let record = records.get(it.id.as_str());
            *from + STABLE <= it.at
                && it.at < *to
                && record.is_some_and(|record| in_touch(*from, record))
        });
        let times: Vec<_> = counted.map(|it| it.at).collect();
        let bound = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
        let window = |from: Instant| {
            times.iter().filter(|it| **it >= from && **it < from + WINDOW).count() as f64
        };
        let largest = times.iter().map(|it| window(*it)).fold(0.0, f64::max);
        result.windows += times.len();
        result.largest_share = result.largest_share.max(largest / bound);
        if largest > bound {
            let text = format!(
                "{largest} requests reached {} in a window, {bound} allowed by a limit of {limit}",
                worker.id()
            );
            violations.push(Violation::new(text));
        }
    }
    (violations, result)
}
