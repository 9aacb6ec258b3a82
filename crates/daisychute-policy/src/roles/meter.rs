//! Measures the demand at one entry.

use std::collections::BTreeMap;
use std::time::Duration;

use daisychute_core::{ClassName, ModelName, Precedence, Time};

use super::demand::{Demand, DemandTable};
use crate::cost::RobustMean;

/// Engine time per token; `None` if the engine's role doesn't do that part of the work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UnitCosts {
    /// Engine time per uncached prompt token.
    pub prompt_token: Option<Duration>,
    /// Engine time per output token in a full batch.
    pub output_token: Option<Duration>,
}

/// Measures the demand of the requests at one entry. A request counts once, regardless of retries.
#[derive(Debug, Clone, Default)]
pub struct DemandMeter {
    models: BTreeMap<ModelName, Counter>,
    // Mean output tokens of finished requests, by class.
    output_lengths: BTreeMap<ClassName, RobustMean>,
    // When the last table was made.
    last_table_at: Time,
}

/// Prompt tokens and expected output tokens of a number of requests.
#[derive(Debug, Clone, Copy, Default)]
struct Tokens {
    prompt: f64,
    output: f64,
}

/// The demand for one model: the tokens of the requests that arrived since the last table, and how much of a prompt
/// is cached.
#[derive(Debug, Clone)]
struct Counter {
    urgent: Tokens,
    deferrable: Tokens,
    // Mean share of a prompt that isn't in the engine's prefix cache.
    uncached_share: f64,
}

impl DemandMeter {
    /// Weight of one prompt in the mean uncached share.
    const UNCACHED_GAIN: f64 = 0.05;
    /// Engine time per prompt token while no engine reports it.
    const DEFAULT_PROMPT_TOKEN: Duration = Duration::from_micros(150);
    /// Engine time per output token while no engine reports it.
    const DEFAULT_OUTPUT_TOKEN: Duration = Duration::from_micros(600);

    /// Creates a meter without any requests.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the arrival of a request from a client.
    pub fn record_arrival(
        &mut self,
        model: &ModelName,
        class: &ClassName,
        precedence: Precedence,
        prompt_tokens: u32,
        max_tokens: u32,
    ) {
        let mean_length = self.output_lengths.get(class).map(RobustMean::get);
        let expected_tokens =
            mean_length.unwrap_or(f64::from(max_tokens)).min(f64::from(max_tokens));
        let counter = self.counter(model);
        let tokens = match precedence {
            Precedence::First | Precedence::Interactive => &mut counter.urgent,
            Precedence::MayWait => &mut counter.deferrable,
        };
        tokens.prompt += f64::from(prompt_tokens);
        tokens.output += expected_tokens;
    }

    /// Records that an engine prefilled a prompt and had `cached_tokens` of it in its prefix cache.
    pub fn record_prefill(&mut self, model: &ModelName, prompt_tokens: u32, cached_tokens: u32) {
        if prompt_tokens == 0 {
            return;
        }
        let uncached_share = 1.0 - f64::from(cached_tokens) / f64::from(prompt_tokens);
        let counter = self.counter(model);
        counter.uncached_share += Self::UNCACHED_GAIN * (uncached_share - counter.uncached_share);
    }

    /// Records the number of output tokens of a complete response in this class.
    pub fn record_response(&mut self, class: &ClassName, output_tokens: u32) {
        let length = f64::from(output_tokens);
        let mean =
            self.output_lengths.entry(class.clone()).or_insert_with(|| RobustMean::new(length));
        mean.add(length);
    }

    /// Returns the demand since the last call, converted to engine time by the mean of `costs`, and starts over.
    pub fn table(&mut self, now: Time, costs: impl Iterator<Item = UnitCosts>) -> DemandTable {
        let (prompt_token, output_token) = mean_costs(costs);
        let seconds = now.since(self.last_table_at).as_secs_f64().max(1e-3);
        self.last_table_at = now;
        let mut table = DemandTable { as_of: now, heard: 1, expected: 1, ..DemandTable::default() };
        for (model, counter) in &mut self.models {
            let prefill = |it: Tokens| it.prompt * counter.uncached_share * prompt_token / seconds;
            let decode = |it: Tokens| it.output * output_token / seconds;
            let demand = Demand {
                prefill: prefill(counter.urgent),
                decode: decode(counter.urgent),
                deferrable: prefill(counter.deferrable) + decode(counter.deferrable),
                ..Demand::default()
            };
            table.models.insert(model.clone(), demand);
            counter.urgent = Tokens::default();
            counter.deferrable = Tokens::default();
        }
        table
    }

    /// Returns the counter of a model. A new one assumes that no prompt is cached.
    fn counter(&mut self, model: &ModelName) -> &mut Counter {
        let new_counter = || Counter {
            urgent: Tokens::default(),
            deferrable: Tokens::default(),
            uncached_share: 1.0,
        };
        self.models.entry(model.clone()).or_insert_with(new_counter)
    }
}

/// Mean engine time of a prompt token and of an output token, in seconds.
fn mean_costs(costs: impl Iterator<Item = UnitCosts>) -> (f64, f64) {
    let (mut prompt_token, mut output_token) = (Mean::default(), Mean::default());
    for cost in costs {
        prompt_token.add(cost.prompt_token);
        output_token.add(cost.output_token);
    }
    (
        prompt_token.mean_or(DemandMeter::DEFAULT_PROMPT_TOKEN),
        output_token.mean_or(DemandMeter::DEFAULT_OUTPUT_TOKEN),
    )
}

#[derive(Debug, Default)]
struct Mean {
    // Sum in seconds.
    sum: f64,
    count: u32,
}

impl Mean {
    fn add(&mut self, duration: Option<Duration>) {
        if let Some(duration) = duration {
            self.sum += duration.as_secs_f64();
            self.count += 1;
        }
    }

    /// Returns the mean in seconds, or `default` if nothing was added.
    fn mean_or(&self, default: Duration) -> f64 {
        if self.count == 0 { default.as_secs_f64() } else { self.sum / f64::from(self.count) }
    }
}
