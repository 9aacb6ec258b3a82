//! Tests of the learned cost model.

use std::time::Duration;

use daisychute_policy::CostModel;
use daisychute_policy::cost::{Batch, LeastSquares};

/// Prefill time of one prompt token.
const PROMPT_TOKEN: Duration = Duration::from_micros(100);

/// A batch of streams with 1,000 context tokens each.
fn batch(streams: u32) -> Batch {
    Batch { streams, context_tokens: u64::from(streams) * 1_000 }
}

/// Inter-token latency of the simulated engine for [`batch`]: 10 ms per step, 0.3 ms per stream and 0.04 ms per 1,000
/// context tokens.
fn token_gap(streams: u32) -> Duration {
    Duration::from_micros(10_000 + u64::from(streams) * 340)
}

/// Whether `actual` is within `percent` of `expected`.
fn is_within(actual: Duration, expected: Duration, percent: u32) -> bool {
    actual.abs_diff(expected) * 100 <= expected * percent
}

macro_rules! prompt_cases {
    ($($name:ident: $observed:expr => $expected:expr, $percent:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut cost = CostModel::new();
            for prompt_token in $observed {
                cost.record_prefill(1_000, prompt_token * 1_000);
            }
            let learned = cost.prompt_token();
            assert!(is_within(learned, $expected, $percent), "{learned:?}");
        }
    )*};
}

prompt_cases! {
    a_cold_start_converges_within_twenty_observations: (0..20).map(|_| PROMPT_TOKEN) => PROMPT_TOKEN, 5;
    one_outlier_in_ten_has_little_influence: (0..200).map(|it| if it % 10 == 0 { PROMPT_TOKEN * 50 } else { PROMPT_TOKEN }) => PROMPT_TOKEN, 30;
    a_replaced_engine_is_relearned: (0..120).map(|it| if it < 100 { PROMPT_TOKEN } else { PROMPT_TOKEN * 5 }) => PROMPT_TOKEN * 5, 10;
}

#[test]
fn token_gaps_are_learned_by_batch_size() {
    let mut cost = CostModel::new();
    for i in 0..2_000_u32 {
        let streams = 1 + i * 7 % 50;
        cost.record_token_gap(batch(streams), token_gap(streams));
    }
    for streams in [1, 20, 50] {
        let learned = cost.between_tokens(batch(streams));
        assert!(is_within(learned, token_gap(streams), 10), "{streams} streams: {learned:?}");
    }
    let limit = cost.max_streams(Duration::from_millis(27), 1_000);
    assert!((45..=55).contains(&limit), "{limit}");
}

#[test]
fn many_observations_of_one_batch_keep_the_model_finite() {
    let mut cost = CostModel::new();
    for _ in 0..100_000 {
        cost.record_token_gap(batch(30), token_gap(30));
    }
    assert!(is_within(cost.between_tokens(batch(30)), token_gap(30), 5));
    assert!(cost.between_tokens(batch(60)) < Duration::from_secs(1));
}

#[test]
fn a_slow_drift_is_followed_after_many_observations() {
    let features = |x: f64| [x, x * x / 10.0];
    let mut model = LeastSquares::new([20.0, 0.0]);
    for i in 0..30_000_u32 {
        let x = 1.0 + f64::from(i % 7);
        let drift = f64::from(i.saturating_sub(25_000)) / 5_000.0;
        model.add(features(x), x * (20.0 + 10.0 * drift));
    }
    let slope = model.predict(features(1.0));
    assert!((slope - 30.0).abs() < 3.0, "learned a slope of {slope} instead of 30");
}
