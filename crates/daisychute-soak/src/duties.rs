//! Checks the usage reports that one front at a time sends, by their fencing tokens.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use daisychute_core::Term;
use daisychute_platform_standin::{ControlApi, UsageCall};

use crate::checks::Violation;

/// Time within which two holders must not act in turns.
const LEASE: Duration = Duration::from_secs(3);
/// Length of a window, short enough for several reports between two returns of the store.
const WINDOW: Duration = Duration::from_secs(2);

/// Returns the settings of the duties of a front.
pub(crate) fn settings(api: &ControlApi) -> String {
    let (address, window, lease) = (api.address(), WINDOW.as_secs(), LEASE.as_millis());
    format!(
        "[duties]\naddress = {address}\nusage-window = {window}s\nlease = {lease}ms\nrequire-fence = false\n\
         duties = usage_report\n"
    )
}

/// Returns the number of the front that sent the latest report.
pub(crate) fn holder(api: &ControlApi) -> Option<usize> {
    api.calls().last()?.holder.strip_prefix("front-")?.parse().ok()
}

/// What was seen of the usage reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DutyCounts {
    reports: usize,
    tokens: usize,
    /// Number of eras of the store in which a holder of reports acquired its lease.
    eras: usize,
}

impl DutyCounts {
    /// Whether there were reports before and after a return of the store.
    pub(crate) const fn has_cases(self) -> bool {
        self.eras > 1
    }
}

impl fmt::Display for DutyCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { reports, tokens, eras } = self;
        write!(f, "{reports} usage reports with {tokens} tokens of {eras} eras")
    }
}

/// Checks reports in the order of their arrival: no two holders use one token, tokens don't fall, no holder acts again within
/// the lease after another one acted, and no window has two contents.
pub(crate) fn check_reports(calls: &[UsageCall]) -> (Vec<Violation>, DutyCounts) {
    let mut violations = Vec::new();
    let mut report =
        |text: String| violations.push(Violation::new(format!("usage report: {text}")));
    let (mut holders, mut contents) = (BTreeMap::new(), BTreeMap::new());
    let mut highest = 0;
    for (index, call) in calls.iter().enumerate() {
        let UsageCall { holder, token, window, counts, at, .. } = call;
        let first = holders.entry(*token).or_insert(holder);
        if *first != holder {
            report(format!("{holder} and {first} use token {token}"));
        }
        if *token < highest {
            report(format!("{holder} uses token {token} after {highest}"));
        }
        highest = highest.max(*token);
        if contents.entry(*window).or_insert(counts) != &counts {
            report(format!("window {window} is reported with two contents"));
        }
        let mut earlier = calls[..index].iter().rev().skip_while(|it| it.holder == *holder);
        if let Some(before) = earlier.find(|it| it.holder == *holder)
            && at.duration_since(before.at) < LEASE
        {
            report(format!("{holder} acts again within the lease, with token {token}"));
        }
    }
    let eras: BTreeSet<_> = holders.keys().map(|it| Term::new(*it).era()).collect();
    let counts = DutyCounts { reports: calls.len(), tokens: holders.len(), eras: eras.len() };
    (violations, counts)
}
