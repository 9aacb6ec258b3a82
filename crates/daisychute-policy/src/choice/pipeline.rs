//! Whether the engines that decode will have room once the prompts under way are computed.

use std::time::Duration;

use daisychute_core::{LoadReport, Role};

/// What the reports of a model's engines say of the way from prefill to decode.
///
/// A decode engine may be free now and full when the prompts that wait before the prefill engines are through. Both
/// are sums over many engines, so that old reports of some of them matter little.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Pipeline {
    /// Requests whose prompts are under way or that wait before a decode engine.
    pending: f64,
    /// The mean wait before a prefill engine, in seconds.
    prefill_wait: f64,
    prefill_engines: f64,
    /// Streams that decode engines can still take within the target between tokens.
    free: f64,
    /// Streams that decode engines finish in a second.
    finishing: f64,
}

impl Pipeline {
    /// The part of the target between tokens that a batch is filled to.
    const TARGET_USE: f64 = 0.9;
    /// What one more stream adds to the time between tokens, in seconds.
    const STREAM: f64 = 0.000_4;

    /// Takes in an engine's report. `prompt` is the time of a prompt like the one in question.
    pub(super) fn add(
        &mut self,
        role: Role,
        report: &LoadReport,
        prompt: Duration,
        target: Duration,
    ) {
        match role {
            Role::Prefill => self.add_prefill(report, prompt),
            Role::Decode => self.add_decode(report, target),
            Role::Mixed => {}
        }
    }

    /// The wait for a place on a decode engine of a request that is sent now.
    pub(super) fn wait(&self) -> Duration {
        let ahead = self.prefill_wait / self.prefill_engines.max(1.0);
        let excess = self.pending + 1.0 - self.free - self.finishing * ahead;
        if excess <= 0.0 || self.finishing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((excess / self.finishing).min(3_600.0))
    }

    fn add_prefill(&mut self, report: &LoadReport, prompt: Duration) {
        let wait = report.wait.as_secs_f64();
        self.pending += wait / prompt.as_secs_f64().max(1e-4);
        self.prefill_wait += wait;
        self.prefill_engines += 1.0;
    }

    fn add_decode(&mut self, report: &LoadReport, target: Duration) {
        let gap = report.between_tokens.as_secs_f64();
        let room = target.as_secs_f64() * Self::TARGET_USE - gap;
        self.free += (room / Self::STREAM).max(0.0);
        let requests = f64::from((report.running + report.queued).max(1));
        // What is left of a request is half of it in the mean.
        let tokens = 2.0 * f64::from(report.pending_output_tokens) / requests;
        if tokens > 0.0 && gap > 0.0 {
            let finishing = f64::from(report.running) / (tokens * gap);
            self.finishing += finishing;
            self.pending += report.wait.as_secs_f64() * finishing;
        }
    }
}
