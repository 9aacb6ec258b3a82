//! The cost model of one endpoint: how long work takes there, learned from its responses.

mod least_squares;
mod robust_mean;

use std::time::Duration;

pub use self::least_squares::LeastSquares;
pub use self::robust_mean::RobustMean;

/// The learned processing times of one endpoint.
///
/// Prefill time is proportional to the uncached prompt tokens. Inter-token latency is linear in the number of streams
/// and their context tokens. Both start from a default, follow the first observations quickly and later ones slowly,
/// clip outliers, and restart when a run of observations on one side indicates that the endpoint was replaced.
#[derive(Debug, Clone)]
pub struct CostModel {
    // Milliseconds per uncached prompt token.
    prompt_token_ms: RobustMean,
    // Inter-token latency in milliseconds, from the features of a batch.
    token_gap_ms: LeastSquares<3>,
    // Milliseconds per call of a plain service.
    call_ms: RobustMean,
}

/// The streams that an engine decodes in one step.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Batch {
    /// Number of streams in the batch.
    pub streams: u32,
    /// Total context tokens of all streams.
    pub context_tokens: u64,
}

impl CostModel {
    /// Milliseconds per uncached prompt token before the first observation.
    const DEFAULT_PROMPT_TOKEN_MS: f64 = 0.15;
    /// Inter-token latency in milliseconds before the first observation: fixed, per stream, and per 1,000 context
    /// tokens.
    const DEFAULT_GAP_MS: [f64; 3] = [12.0, 0.3, 0.05];
    /// Milliseconds per call of a plain service before the first observation.
    const DEFAULT_CALL_MS: f64 = 10.0;
    /// Prefills of fewer uncached tokens are ignored: the fixed cost of a step dominates their time.
    const MIN_PROMPT_TOKENS: u32 = 64;
    /// Upper bound of [`max_streams`](Self::max_streams).
    const MAX_STREAMS: u32 = 1_024;

    /// Creates a model with the default times.
    #[must_use]
    pub fn new() -> Self {
        Self {
            prompt_token_ms: RobustMean::new(Self::DEFAULT_PROMPT_TOKEN_MS),
            token_gap_ms: LeastSquares::new(Self::DEFAULT_GAP_MS),
            call_ms: RobustMean::new(Self::DEFAULT_CALL_MS),
        }
    }

    /// Discards all observations, for an endpoint that was replaced.
    pub fn reset(&mut self) {
        *self = Self::new();
    }

    /// Records that the endpoint took `duration` to prefill this many uncached prompt tokens.
    pub fn record_prefill(&mut self, uncached_tokens: u32, duration: Duration) {
        if uncached_tokens >= Self::MIN_PROMPT_TOKENS {
            self.prompt_token_ms.add(millis(duration) / f64::from(uncached_tokens));
        }
    }

    /// Records the time between two tokens of a stream of this batch.
    pub fn record_token_gap(&mut self, batch: Batch, gap: Duration) {
        self.token_gap_ms.add(features(batch), millis(gap));
    }

    /// Records that a plain service responded to a call after `duration`.
    pub fn record_call(&mut self, duration: Duration) {
        self.call_ms.add(millis(duration));
    }

    /// Returns the prefill time of one uncached prompt token.
    #[must_use]
    pub fn prompt_token(&self) -> Duration {
        from_millis(self.prompt_token_ms.get())
    }

    /// Returns the prefill time of this many uncached prompt tokens.
    #[must_use]
    pub fn prompt_time(&self, uncached_tokens: u64) -> Duration {
        from_millis(self.prompt_token_ms.get() * uncached_tokens as f64)
    }

    /// Returns the predicted inter-token latency of a stream of this batch.
    #[must_use]
    pub fn between_tokens(&self, batch: Batch) -> Duration {
        from_millis(self.token_gap_ms.predict(features(batch)))
    }

    /// Returns the time of one call of a plain service.
    #[must_use]
    pub fn call_time(&self) -> Duration {
        from_millis(self.call_ms.get())
    }

    /// Returns the largest batch of streams with this mean context that keeps the inter-token latency within `target`,
    /// at least one stream.
    #[must_use]
    pub fn max_streams(&self, target: Duration, mean_context: u64) -> u32 {
        let gap_of_one =
            millis(self.between_tokens(Batch { streams: 1, context_tokens: mean_context }));
        let gap_of_two =
            millis(self.between_tokens(Batch { streams: 2, context_tokens: 2 * mean_context }));
        let gap_per_stream = gap_of_two - gap_of_one;
        if gap_per_stream <= f64::EPSILON {
            return Self::MAX_STREAMS;
        }
        let streams = 1.0 + (millis(target) - gap_of_one) / gap_per_stream;
        streams.clamp(1.0, f64::from(Self::MAX_STREAMS)) as u32
    }
}

impl Default for CostModel {
    fn default() -> Self {
        Self::new()
    }
}

/// The features of the inter-token latency, in the order of `DEFAULT_GAP_MS`.
fn features(batch: Batch) -> [f64; 3] {
    [1.0, f64::from(batch.streams), batch.context_tokens as f64 / 1_000.0]
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Converts milliseconds to a duration of at most one day; predictions may be out of range.
fn from_millis(millis: f64) -> Duration {
    Duration::from_secs_f64((millis / 1_000.0).clamp(0.0, 86_400.0))
}
