//! The demand that one entry sees.

use std::collections::BTreeMap;
use std::time::Duration;

use daisychute_core::{ClassName, ModelName, Precedence, Time};

use super::demand::{Demand, DemandTable};
use crate::cost::RobustMean;

/// What one token costs of an engine's time; none where the engine doesn't do that part of the work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UnitCosts {
    /// An uncached prompt token.
    pub prompt_token: Option<Duration>,
    /// An output token in a full batch.
    pub output_token: Option<Duration>,
}

/// Counts the demand that one entry sees. A request counts once, however often it is tried.
#[derive(Debug, Clone, Default)]
pub struct DemandMeter {
    models: BTreeMap<ModelName, Counter>,
    outputs: BTreeMap<ClassName, RobustMean>,
    since: Time,
}

#[derive(Debug, Clone, Copy, Default)]
struct Tokens {
    prompt: f64,
    output: f64,
}

#[derive(Debug, Clone)]
struct Counter {
    urgent: Tokens,
    deferrable: Tokens,
    // The mean part of a prompt that no cache has.
    uncached: f64,
}

impl DemandMeter {
    const UNCACHED_GAIN: f64 = 0.05;
    const DEFAULT_PROMPT_TOKEN: Duration = Duration::from_micros(150);
    const DEFAULT_OUTPUT_TOKEN: Duration = Duration::from_micros(600);

    /// A meter that has seen nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A request came from a caller.
    pub fn record_arrival(
        &mut self,
        model: &ModelName,
        class: &ClassName,
        precedence: Precedence,
        prompt_tokens: u32,
        max_tokens: u32,
    ) {
        let learned = self.outputs.get(class).map(RobustMean::get);
        let expected = learned.unwrap_or(f64::from(max_tokens)).min(f64::from(max_tokens));
        let counter = self.counter(model);
        let tokens = match precedence {
            Precedence::First | Precedence::Interactive => &mut counter.urgent,
            Precedence::MayWait => &mut counter.deferrable,
        };
        tokens.prompt += f64::from(prompt_tokens);
        tokens.output += expected;
    }

    /// An engine computed a prompt and had so many of its tokens cached.
    pub fn record_prefill(&mut self, model: &ModelName, prompt_tokens: u32, cached_tokens: u32) {
        if prompt_tokens == 0 {
            return;
        }
        let uncached = 1.0 - f64::from(cached_tokens) / f64::from(prompt_tokens);
        let counter = self.counter(model);
        counter.uncached += Self::UNCACHED_GAIN * (uncached - counter.uncached);
    }

    /// A request of this class was answered with so many tokens.
    pub fn record_response(&mut self, class: &ClassName, output_tokens: u32) {
        let value = f64::from(output_tokens);
        let mean = self.outputs.entry(class.clone()).or_insert_with(|| RobustMean::new(value));
        mean.add(value);
    }

    /// The demand since the last call, as work of engines with these mean costs.
    pub fn table(&mut self, now: Time, costs: impl Iterator<Item = UnitCosts>) -> DemandTable {
        let (prompt_token, output_token) = mean_costs(costs);
        let seconds = now.since(self.since).as_secs_f64().max(1e-3);
        self.since = now;
        let mut table = DemandTable { as_of: now, heard: 1, expected: 1, ..DemandTable::default() };
        for (model, counter) in &mut self.models {
            let prefill = |it: Tokens| it.prompt * counter.uncached * prompt_token / seconds;
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

    fn counter(&mut self, model: &ModelName) -> &mut Counter {
        let blank =
            || Counter { urgent: Tokens::default(), deferrable: Tokens::default(), uncached: 1.0 };
        self.models.entry(model.clone()).or_insert_with(blank)
    }
}

/// Mean seconds of a prompt token and of an output token.
fn mean_costs(costs: impl Iterator<Item = UnitCosts>) -> (f64, f64) {
    let (mut prompts, mut outputs) = (Mean::default(), Mean::default());
    for cost in costs {
        prompts.add(cost.prompt_token);
        outputs.add(cost.output_token);
    }
    (prompts.or(DemandMeter::DEFAULT_PROMPT_TOKEN), outputs.or(DemandMeter::DEFAULT_OUTPUT_TOKEN))
}

#[derive(Debug, Default)]
struct Mean {
    sum: f64,
    count: u32,
}

impl Mean {
    fn add(&mut self, span: Option<Duration>) {
        if let Some(span) = span {
            self.sum += span.as_secs_f64();
            self.count += 1;
        }
    }

    fn or(&self, default: Duration) -> f64 {
        if self.count == 0 { default.as_secs_f64() } else { self.sum / f64::from(self.count) }
    }
}
