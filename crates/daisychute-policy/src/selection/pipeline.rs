//! Predicts the wait for a decode engine at the time when the prompts in prefill are done.

use std::time::Duration;

use daisychute_core::{LoadReport, Role};

/// Totals over the load reports of a model's prefill and decode engines.
///
/// A decode engine that is free now may be full by the time the queued prompts are prefilled. The totals cover many
/// engines, so stale reports of some of them matter little.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Pipeline {
    /// Requests that are in prefill, or queued for a prefill or decode engine.
    pending: f64,
    /// Sum of the queue waits of all prefill engines, in seconds.
    prefill_wait: f64,
    /// Number of prefill engines.
    prefill_engines: f64,
    /// Streams that decode engines can still accept within the inter-token latency target.
    free_streams: f64,
    /// Streams that decode engines complete per second.
    completion_rate: f64,
}

impl Pipeline {
    /// Share of the inter-token latency target that a batch may use up.
    const MAX_TARGET_SHARE: f64 = 0.9;
    /// Inter-token latency that one more stream adds, in seconds.
    const SECONDS_PER_STREAM: f64 = 0.000_4;

    /// Adds the report of an engine. `prefill_time` is the time to prefill a prompt of the request's length on it, and
    /// `target` the inter-token latency target of the request.
    pub(super) fn add(
        &mut self,
        role: Role,
        report: &LoadReport,
        prefill_time: Duration,
        target: Duration,
    ) {
        match role {
            Role::Prefill => self.add_prefill(report, prefill_time),
            Role::Decode => self.add_decode(report, target),
            Role::Mixed => {}
        }
    }

    /// Expected wait for a decode stream of a request that is sent now.
    pub(super) fn wait(&self) -> Duration {
        let mean_prefill_wait = self.prefill_wait / self.prefill_engines.max(1.0);
        let excess =
            self.pending + 1.0 - self.free_streams - self.completion_rate * mean_prefill_wait;
        if excess <= 0.0 || self.completion_rate <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((excess / self.completion_rate).min(3_600.0))
    }

    fn add_prefill(&mut self, report: &LoadReport, prefill_time: Duration) {
        let wait = report.wait.as_secs_f64();
        self.pending += wait / prefill_time.as_secs_f64().max(1e-4);
        self.prefill_wait += wait;
        self.prefill_engines += 1.0;
    }

    fn add_decode(&mut self, report: &LoadReport, target: Duration) {
        let gap = report.between_tokens.as_secs_f64();
        let spare_gap = target.as_secs_f64() * Self::MAX_TARGET_SHARE - gap;
        self.free_streams += (spare_gap / Self::SECONDS_PER_STREAM).max(0.0);
        let requests = f64::from((report.running + report.queued).max(1));
        // A request is on average half done, so its full length is twice the mean of the remaining tokens.
        let output_tokens = 2.0 * f64::from(report.pending_output_tokens) / requests;
        if output_tokens > 0.0 && gap > 0.0 {
            let completion_rate = f64::from(report.running) / (output_tokens * gap);
            self.completion_rate += completion_rate;
            self.pending += report.wait.as_secs_f64() * completion_rate;
        }
    }
}
