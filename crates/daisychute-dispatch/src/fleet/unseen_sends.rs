//! Prefill work that other fronts have sent since their last heartbeats.

use std::time::Duration;

use daisychute_core::Time;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::cost_model::{PrefillEngine, ServiceCostModel};
use crate::fleet::selection::Candidate;

/// Estimate of the prefill work that the other fronts have sent to the engines of one kind, and that no heartbeat has
/// reported yet.
///
/// After Dahlin, Interpreting Stale Load Information (2000): the other fronts see the same costs and send to the
/// cheapest engines, so that their work fills these up to one level. A request goes to an engine with a probability in
/// proportion to what is missing to that level. The less work is unseen, the fewer engines are below the level.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct UnseenSends {
    /// Time that heartbeats are assumed to take from their content to their arrival.
    pub(crate) heartbeat_delay: Duration,
    /// Work on all engines, in ms.
    work_ms: f64,
}

impl UnseenSends {
    /// Factor from the mean delay of first outputs to the assumed delay of heartbeats. Work that wasn't seen delays first
    /// outputs, but the more requests are spread, the less; factors from 4 to 10 did equally well in replays.
    const HEARTBEAT_DELAY_FACTOR: f64 = 6.0;
    /// Mean time from a send to the heartbeat that reports it, in ms: half the minimum interval between heartbeats.
    const MEAN_REPORT_DELAY_MS: f64 = 20.0;

    /// Estimates the unseen work of `fronts` fronts that send as much as this one; `None` if this is the only one.
    pub(crate) fn estimate(
        now: Time,
        model: &ServiceCostModel,
        engine: PrefillEngine,
        fronts: usize,
        max_heartbeat_delay: Duration,
    ) -> Option<Self> {
        let others = fronts.checked_sub(1).filter(|it| *it > 0)?;
        let max_ms = max_heartbeat_delay.as_secs_f64() * 1e3;
        let delay_ms = (model.delay_ms(now, engine) * Self::HEARTBEAT_DELAY_FACTOR).min(max_ms);
        let unseen_ms = delay_ms + Self::MEAN_REPORT_DELAY_MS;
        Some(Self {
            heartbeat_delay: Duration::from_secs_f64(delay_ms / 1e3),
            work_ms: model.work_rate(now, engine) * others as f64 * unseen_ms,
        })
    }

    /// Selects a candidate for a request with this seed; `None` if the unseen work doesn't raise the lowest cost by
    /// more than `tie_ms`.
    pub(crate) fn choose(
        &self,
        candidates: &[(u64, Candidate)],
        seed: u64,
        tie_ms: f64,
    ) -> Option<Candidate> {
        let level = self.level(candidates.iter().map(|(_, it)| it.predicted_ms).collect())?;
        let missing = |it: &Candidate| (level - it.predicted_ms).max(0.0);
        if !candidates.iter().any(|(_, it)| missing(it) > tie_ms) {
            return None;
        }
        let total: f64 = candidates.iter().map(|(_, it)| missing(it)).sum();
        let mut left = unit_hash(seed) * total;
        let mut below = candidates.iter().filter(|(_, it)| missing(it) > 0.0);
        let chosen = below.clone().find(|(_, it)| {
            left -= missing(it);
            left <= 0.0
        });
        // Rounding may leave a rest after the last one.
        chosen.or_else(|| below.next_back()).map(|(_, it)| *it)
    }

    /// Returns the cost to which the unseen work fills the cheapest candidates.
    fn level(&self, mut costs: Vec<f64>) -> Option<f64> {
        costs.sort_by(f64::total_cmp);
        let mut sum = 0.0;
        let mut level = *costs.first()?;
        for (filled, cost) in costs.iter().enumerate() {
            if cost * filled as f64 - sum > self.work_ms {
                break;
            }
            sum += cost;
            level = (sum + self.work_ms) / (filled + 1) as f64;
        }
        Some(level)
    }
}

/// Returns a number from 0 to 1 that depends on the seed only.
fn unit_hash(seed: u64) -> f64 {
    xxh3_64(&seed.to_le_bytes()) as f64 / u64::MAX as f64
}
