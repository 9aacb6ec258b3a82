//! The report on one seed.

use std::collections::BTreeMap;
use std::fmt;

use crate::changes::Checked;
use crate::checks::Violation;
use crate::cuts::CutCounts;
use crate::duties::DutyCounts;
use crate::limits::Limited;
use crate::poison::Poisoned;
use crate::streams::Counts;
use crate::versions::Resumed;

/// The counts and violations of one seed.
#[derive(Debug, Default)]
pub(crate) struct Report {
    pub(crate) violations: Vec<Violation>,
    /// What the fronts logged about the requests with violations.
    pub(crate) log_lines: Vec<String>,
    /// What each front logged since its latest start, if anything was violated.
    pub(crate) front_logs: Vec<Vec<String>>,
    /// Number of recorded requests.
    pub(crate) requests: usize,
    /// Number of responses with status 200 and a complete body.
    pub(crate) complete: usize,
    /// Number of injected faults.
    pub(crate) faults: usize,
    /// Number of responses by status.
    pub(crate) statuses: BTreeMap<u16, usize>,
    /// Number of refusals by their bodies, which tell the reason.
    pub(crate) refusals: BTreeMap<String, usize>,
    /// The streams that clients resumed.
    pub(crate) resumed: Resumed,
    /// The requests that end workers.
    pub(crate) poisoned: Poisoned,
    /// The limits that workers named.
    pub(crate) limited: Limited,
    /// The changes of routes and workers; `None` without any.
    pub(crate) changes: Option<Checked>,
    /// The streams of worker processes; `None` in runs without them.
    pub(crate) streams: Option<Counts>,
    /// The cuts between fronts, with the streams that were resumed there; `None` in runs without them.
    pub(crate) cuts: Option<CutCounts>,
    /// The usage reports; `None` in runs without them.
    pub(crate) duties: Option<DutyCounts>,
    /// Number of entries of another writer; `None` in runs without them.
    pub(crate) foreign_entries: Option<usize>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            requests,
            complete,
            faults,
            statuses,
            refusals,
            resumed,
            poisoned,
            limited,
            changes,
            streams,
            cuts,
            duties,
            foreign_entries,
            violations,
            log_lines,
            front_logs: _,
        } = self;
        if let Some(streams) = streams {
            write!(f, "{faults} faults, {} violations{streams}", violations.len())?;
        } else {
            write!(
                f,
                "{requests} requests, {complete} complete, {faults} faults, {statuses:?}, {refusals:?}, {resumed}, {poisoned}, {limited}, {} violations",
                violations.len()
            )?;
        }
        if let Some(changes) = changes {
            write!(f, "; {changes}")?;
        }
        if let Some(cuts) = cuts {
            write!(f, "; {cuts}")?;
        }
        if let Some(duties) = duties {
            write!(f, "; {duties}")?;
        }
        if let Some(count) = foreign_entries {
            write!(f, "; {count} foreign entries")?;
        }
        for it in violations.iter().take(12) {
            write!(f, "\n  {it}")?;
        }
        for it in log_lines.iter().take(48) {
            write!(f, "\n    {it}")?;
        }
        Ok(())
    }
}
