//! How long work takes on one endpoint, learned from its answers.

mod least_squares;
mod robust_mean;

use std::time::Duration;

pub use self::least_squares::LeastSquares;
pub use self::robust_mean::RobustMean;

/// Learned times of one endpoint.
///
/// The time of a prompt is proportional to its uncached tokens. The time between two tokens is linear in the number
/// of streams and in their context. Both start from a default, follow the first observations fast and later ones
/// slowly, clip outliers, and start over when a run of observations says that the endpoint was replaced.
#[derive(Debug, Clone)]
pub struct CostModel {
    prompt_token: RobustMean,
    gap: LeastSquares<3>,
    call: RobustMean,
}

/// What an engine was doing between two tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Batch {
    /// Streams in the batch.
    pub streams: u32,
    /// Tokens of context of all streams together.
    pub context_tokens: u64,
}

impl CostModel {
    /// Milliseconds for one uncached prompt token before anything was seen.
    const DEFAULT_PROMPT_TOKEN_MS: f64 = 0.15;
    /// Milliseconds between tokens before anything was seen: fixed, for each stream, for 1,000 tokens of context.
    const DEFAULT_GAP_MS: [f64; 3] = [12.0, 0.3, 0.05];
    /// Milliseconds for one call of a plain service before anything was seen.
    const DEFAULT_CALL_MS: f64 = 10.0;
    /// Prompts with fewer uncached tokens tell more of the fixed cost of a step than of a token.
    const MIN_PROMPT_TOKENS: u32 = 64;
    /// No batch is predicted to be larger than this.
    const MAX_STREAMS: u32 = 1_024;

    /// A model that has seen nothing.
    #[must_use]
    pub fn new() -> Self {
        Self {
            prompt_token: RobustMean::new(Self::DEFAULT_PROMPT_TOKEN_MS),
            gap: LeastSquares::new(Self::DEFAULT_GAP_MS),
            call: RobustMean::new(Self::DEFAULT_CALL_MS),
        }
    }

    /// Forgets everything, for an endpoint that was replaced.
    pub fn reset(&mut self) {
        *self = Self::new();
    }

    /// The endpoint spent `spent` on computing this many uncached prompt tokens.
    pub fn record_prefill(&mut self, uncached_tokens: u32, spent: Duration) {
        if uncached_tokens >= Self::MIN_PROMPT_TOKENS {
            self.prompt_token.add(millis(spent) / f64::from(uncached_tokens));
        }
    }

    /// A stream of this batch got its next token after `gap`.
    pub fn record_token_gap(&mut self, batch: Batch, gap: Duration) {
        self.gap.add(features(batch), millis(gap));
    }

    /// A plain service answered a call after `spent`.
    pub fn record_call(&mut self, spent: Duration) {
        self.call.add(millis(spent));
    }

    /// The time for one uncached prompt token.
    #[must_use]
    pub fn prompt_token(&self) -> Duration {
        from_millis(self.prompt_token.get())
    }

    /// The time for this many uncached prompt tokens.
    #[must_use]
    pub fn prompt_time(&self, uncached_tokens: u64) -> Duration {
        from_millis(self.prompt_token.get() * uncached_tokens as f64)
    }

    /// The time between two tokens of one stream of this batch.
    #[must_use]
    pub fn between_tokens(&self, batch: Batch) -> Duration {
        from_millis(self.gap.predict(features(batch)))
    }

    /// The time for one call of a plain service.
    #[must_use]
    pub fn call_time(&self) -> Duration {
        from_millis(self.call.get())
    }

    /// The largest batch of streams with this mean context that keeps the time between tokens within `target`.
    /// At least one.
    #[must_use]
    pub fn max_streams(&self, target: Duration, mean_context: u64) -> u32 {
        let one = millis(self.between_tokens(Batch { streams: 1, context_tokens: mean_context }));
        let two =
            millis(self.between_tokens(Batch { streams: 2, context_tokens: 2 * mean_context }));
        let slope = two - one;
        if slope <= f64::EPSILON {
            return Self::MAX_STREAMS;
        }
        let streams = 1.0 + (millis(target) - one) / slope;
        streams.clamp(1.0, f64::from(Self::MAX_STREAMS)) as u32
    }
}

impl Default for CostModel {
    fn default() -> Self {
        Self::new()
    }
}

fn features(batch: Batch) -> [f64; 3] {
    [1.0, f64::from(batch.streams), batch.context_tokens as f64 / 1_000.0]
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}

fn from_millis(millis: f64) -> Duration {
    Duration::from_secs_f64((millis / 1_000.0).clamp(0.0, 86_400.0))
}
