//! The learned cost model.

use std::time::Duration;

use daisychute_policy::CostModel;
use daisychute_policy::cost::{Batch, LeastSquares};

const TOKEN: Duration = Duration::from_micros(100);

fn batch(streams: u32) -> Batch {
    Batch { streams, context_tokens: u64::from(streams) * 1_000 }
}

/// 10 ms for each step, 0.3 ms for each stream and 0.04 ms for 1,000 tokens of context.
fn gap(streams: u32) -> Duration {
    Duration::from_micros(10_000 + u64::from(streams) * 340)
}

fn near(found: Duration, wanted: Duration, percent: u32) -> bool {
    found.abs_diff(wanted) * 100 <= wanted * percent
}

macro_rules! prompt_cases {
    ($($name:ident: $observed:expr => $wanted:expr, $percent:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut cost = CostModel::new();
            for spent in $observed {
                cost.record_prefill(1_000, spent * 1_000);
            }
            let found = cost.prompt_token();
            assert!(near(found, $wanted, $percent), "{found:?}");
        }
    )*};
}

prompt_cases! {
    a_cold_start_settles_within_twenty: (0..20).map(|_| TOKEN) => TOKEN, 5;
    one_in_ten_outliers_move_it_little: (0..200).map(|it| if it % 10 == 0 { TOKEN * 50 } else { TOKEN }) => TOKEN, 30;
    a_replaced_engine_is_learned_anew: (0..120).map(|it| if it < 100 { TOKEN } else { TOKEN * 5 }) => TOKEN * 5, 10;
}

#[test]
fn gaps_are_learned_against_the_batch() {
    let mut cost = CostModel::new();
    for i in 0..2_000_u32 {
        let streams = 1 + i * 7 % 50;
        cost.record_token_gap(batch(streams), gap(streams));
    }
    for streams in [1, 20, 50] {
        let found = cost.between_tokens(batch(streams));
        assert!(near(found, gap(streams), 10), "{streams}: {found:?}");
    }
    let limit = cost.max_streams(Duration::from_millis(27), 1_000);
    assert!((45..=55).contains(&limit), "{limit}");
}

#[test]
fn a_constant_batch_for_long_keeps_the_model_finite() {
    let mut cost = CostModel::new();
    for _ in 0..100_000 {
        cost.record_token_gap(batch(30), gap(30));
    }
    assert!(near(cost.between_tokens(batch(30)), gap(30), 5));
    assert!(cost.between_tokens(batch(60)) < Duration::from_secs(1));
}

#[test]
fn a_slow_drift_is_followed_after_many_observations() {
    let features = |x: f64| [x, x * x / 10.0];
    let mut model = LeastSquares::new([20.0, 0.0]);
    for number in 0..30_000_u32 {
        let x = 1.0 + f64::from(number % 7);
        let drift = f64::from(number.saturating_sub(25_000)) / 5_000.0;
        model.add(features(x), x * (20.0 + 10.0 * drift));
    }
    let slope = model.predict(features(1.0));
    assert!((slope - 30.0).abs() < 3.0, "learned {slope} ms a unit of 30");
}
