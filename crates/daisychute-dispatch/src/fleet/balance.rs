//! Spreads requests over endpoints of similar cost while load information is old.

use std::time::Duration;

use daisychute_core::Time;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::cost_model::ServiceCostModel;
use crate::fleet::selection::{Candidate, SelectionQuery};
use crate::{Dispatcher, EngineStage};

/// Strategy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum BalanceStrategy {
    /// Lowest cost.
    #[default]
    Off,
    /// Dahlin: expected sends of the others fill the cheapest endpoints up to a level.
    PeerSends,
    /// Same, but only expected sends since the last heartbeat of each.
    Softmin,
    /// PeerSends with draining of old reports.
    Drain,
    /// Drain with a learned age.
    Adaptive,
    /// Drain with the level as cost.
    Level,
    /// Subset of four by front, plus holders.
    Subset,
    /// Two random ones.
    TwoChoices,
    /// Noise with the deviation of prediction errors.
    Noise,
    /// Water-filling up to learned mean absolute error.
    LearnedLevel,
}

/// Settings.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct BalanceSettings {
    /// Strategy.
    pub strategy: BalanceStrategy,
    /// Age of information.
    pub age: Duration,
    /// Strength.
    pub strength: f64,
}

/// Exponentially weighted rate of prefill work sent, in ms per ms.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct WorkRate {
    rate: f64,
    updated: Time,
}

impl WorkRate {
    const MEAN_LIFE_MS: f64 = 1_500.0;

    pub(crate) fn add(&mut self, now: Time, ms: f64) {
        self.rate = self.get(now) + ms / Self::MEAN_LIFE_MS;
        self.updated = now;
    }

    pub(crate) fn get(&self, now: Time) -> f64 {
        let age = now.since(self.updated).as_secs_f64() * 1e3;
        self.rate * (-age / Self::MEAN_LIFE_MS).exp()
    }
}

#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Errors {
    mean: f64,
    abs: f64,
}

impl Errors {
    pub(crate) fn add(&mut self, _now: Time, error_ms: f64) {
        let error = error_ms.clamp(-500.0, 500.0);
        self.mean += 0.05 * (error - self.mean);
        self.abs += 0.05 * ((error - self.mean).abs() - self.abs);
    }
}

/// What spreads one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Balance {
    pub(crate) settings: BalanceSettings,
    fronts: usize,
    rank: usize,
    work_rate: [f64; 2],
    errors: [Errors; 2],
    delays: [f64; 2],
}

impl Balance {
    pub(crate) fn age(&self, kind: usize) -> Option<Duration> {
        match self.settings.strategy {
            BalanceStrategy::Drain | BalanceStrategy::Level => Some(self.settings.age),
            BalanceStrategy::Adaptive => {
                let ms = Duration::from_secs_f64(self.delays[kind] * self.settings.strength / 1e3);
                Some(self.settings.age.min(ms))
            }
            _ => None,
        }
    }
}

impl Dispatcher {
    pub(crate) fn balance(&self, now: Time, model: &ServiceCostModel) -> Balance {
        Balance {
            settings: self.settings.balance,
            fronts: self.fleet.position.count,
            rank: self.fleet.position.rank,
            work_rate: [model.work_rate[0].get(now), model.work_rate[1].get(now)],
            errors: model.errors,
            delays: [
                model.delay_ms(now, crate::fleet::cost_model::PrefillEngine::Dedicated),
                model.delay_ms(now, crate::fleet::cost_model::PrefillEngine::Combined),
            ],
        }
    }
}

type Predictions = Vec<(u64, Candidate)>;

fn unit(seed: u64, number: u64) -> f64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    bytes[8..].copy_from_slice(&number.to_le_bytes());
    (xxh3_64(&bytes) >> 11) as f64 / (1u64 << 53) as f64
}

impl Balance {
    pub(crate) fn narrow(
        &self,
        predictions: Predictions,
        query: &SelectionQuery<'_>,
    ) -> Predictions {
        if self.fronts < 2 || predictions.len() < 2 {
            return predictions;
        }
        let kind = usize::from(query.stage != Some(EngineStage::Prefill));
        let seed = query.seed ^ kind as u64;
        let strength = self.settings.strength;
        let age_ms = self.settings.age.as_secs_f64() * 1e3 + 20.0;
        let others = (self.fronts - 1) as f64;
        match self.settings.strategy {
            BalanceStrategy::Off => predictions,
            BalanceStrategy::Adaptive => {
                let age_ms = self.age(kind).unwrap_or_default().as_secs_f64() * 1e3 + 20.0;
                let work = self.work_rate[kind] * others * age_ms;
                fill(predictions, work, seed, false)
            }
            BalanceStrategy::Level => {
                let work = self.work_rate[kind] * others * age_ms * strength;
                fill(predictions, work, seed, true)
            }
            BalanceStrategy::PeerSends | BalanceStrategy::Drain => {
                let work = self.work_rate[kind] * others * age_ms * strength;
                fill(predictions, work, seed, false)
            }
            BalanceStrategy::Softmin => {
                let t = (age_ms * strength * others / (others + 1.0)).max(0.1);
                let lowest = lowest(&predictions);
                weighted(predictions, seed, |it| (-(it.predicted_ms - lowest) / t).exp())
            }
            BalanceStrategy::Subset => {
                let size = (strength as usize).max(1);
                let mut ranked = predictions;
                ranked.sort_by(|a, b| {
                    let hash = |it: &(u64, Candidate)| {
                        unit(self.rank as u64 + 1, u64::from(it.1.key.number()))
                    };
                    hash(a).total_cmp(&hash(b))
                });
                let most = ranked.iter().map(|it| it.1.prefill_work.cached).max().unwrap_or(0);
                let holder = |it: &(u64, Candidate)| most > 0 && it.1.prefill_work.cached == most;
                let mut kept: Vec<_> = ranked[..size.min(ranked.len())].to_vec();
                kept.extend(ranked.iter().skip(size).filter(|it| holder(it)).take(2).copied());
                kept
            }
            BalanceStrategy::TwoChoices => {
                let mut ranked = predictions;
                ranked.sort_by(|a, b| {
                    let hash = |it: &(u64, Candidate)| unit(seed, u64::from(it.1.key.number()));
                    hash(a).total_cmp(&hash(b))
                });
                ranked.truncate((strength as usize).max(1));
                ranked
            }
            BalanceStrategy::Noise => {
                let deviation = self.errors[kind].abs * strength;
                let cost = |it: &Candidate| {
                    // Triangular noise.
                    let n = u64::from(it.key.number());
                    let noise = unit(seed, n) + unit(!seed, n) - 1.0;
                    it.predicted_ms + noise * deviation * 2.0
                };
                let best = predictions.iter().min_by(|a, b| cost(&a.1).total_cmp(&cost(&b.1)));
                best.copied().into_iter().collect()
            }
            BalanceStrategy::LearnedLevel => {
                let level = lowest(&predictions) + self.errors[kind].abs * strength;
                weighted(predictions, seed, |it| (level - it.predicted_ms).max(1e-6))
            }
        }
    }
}

fn lowest(predictions: &[(u64, Candidate)]) -> f64 {
    predictions.iter().map(|(_, it)| it.predicted_ms).fold(f64::INFINITY, f64::min)
}

fn weighted(
    predictions: Predictions,
    seed: u64,
    weight: impl Fn(&Candidate) -> f64,
) -> Predictions {
    let total: f64 = predictions.iter().map(|it| weight(&it.1)).sum();
    let mut left = unit(seed, 7) * total;
    for it in &predictions {
        left -= weight(&it.1);
        if left <= 0.0 {
            return vec![*it];
        }
    }
    predictions
}

/// Basic load interpretation.
fn fill(predictions: Predictions, work: f64, seed: u64, raise: bool) -> Predictions {
    let mut costs: Vec<_> = predictions.iter().map(|it| it.1.predicted_ms).collect();
    costs.sort_by(f64::total_cmp);
    let mut sum = 0.0;
    let mut level = costs[0];
    for (number, cost) in costs.iter().enumerate() {
        // Filling all before this one up to it takes more than there is.
        if cost * number as f64 - sum > work {
            break;
        }
        sum += cost;
        level = (sum + work) / (number + 1) as f64;
    }
    if level <= costs[0] + 4.0 {
        return predictions;
    }
    let mut chosen = weighted(predictions, seed, |it| (level - it.predicted_ms).max(0.0));
    if raise {
        for it in &mut chosen {
            let more = (level - it.1.predicted_ms).max(0.0);
            it.1.predicted_ms += more;
            it.1.wait_ms += more;
            it.1.work_ahead_ms += more;
        }
    }
    chosen
}
