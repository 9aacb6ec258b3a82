//! Times from the last event of a whole stream to its end.

use std::fmt;
use std::time::Duration;

/// Times from the last event of a whole stream to its end, as clients see them.
#[derive(Debug, Default)]
pub(super) struct Tails(Vec<Duration>);

impl Tails {
    pub(super) fn add(&mut self, tail: Duration) {
        self.0.push(tail);
    }
}

impl fmt::Display for Tails {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut sorted = self.0.clone();
        sorted.sort_unstable();
        let Some(last) = sorted.len().checked_sub(1) else { return f.write_str("none") };
        let percentile = |it: usize| sorted[last * it / 100].as_secs_f64() * 1_000.0;
        let (median, p99, max) = (percentile(50), percentile(99), percentile(100));
        write!(f, "median {median:.1}, p99 {p99:.1}, max {max:.1} ms of {}", sorted.len())
    }
}
