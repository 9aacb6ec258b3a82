//! Demand for one model, and its sum over entries and data centres.

use std::collections::BTreeMap;

use daisychute_core::{ModelName, Time};
use serde::{Deserialize, Serialize};

/// Work that came for one model, in engine-seconds a second. Urgent work has a target for its first token or between
/// tokens; deferrable work has none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Of urgent prompts, cached parts left out.
    pub prefill: f64,
    /// Of urgent outputs.
    pub decode: f64,
    /// Of deferrable prompts and outputs.
    pub deferrable: f64,
    /// Engine-seconds of urgent prompts that wait.
    pub prefill_backlog: f64,
    /// Full batches that the urgent streams of all engines make.
    pub decode_busy: f64,
}

impl Demand {
    /// The sum of two demands.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            prefill: self.prefill + other.prefill,
            decode: self.decode + other.decode,
            deferrable: self.deferrable + other.deferrable,
            prefill_backlog: self.prefill_backlog + other.prefill_backlog,
            decode_busy: self.decode_busy + other.decode_busy,
        }
    }
}

/// What a collector knows of the demand in its data centre, and the planner of all of them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandTable {
    /// By model.
    pub models: BTreeMap<ModelName, Demand>,
    /// When it was taken.
    pub as_of: Time,
    /// Sources that were heard, and those that should have been.
    pub heard: u32,
    /// Sources that should have been heard.
    pub expected: u32,
}

impl DemandTable {
    /// Takes in the table of one more source. The whole is as old as its oldest part.
    pub fn merge(&mut self, other: &Self) {
        for (model, demand) in &other.models {
            let sum = self.models.entry(model.clone()).or_default();
            *sum = sum.plus(*demand);
        }
        self.as_of = if self.heard == 0 { other.as_of } else { self.as_of.min(other.as_of) };
        self.heard += other.heard;
        self.expected += other.expected;
    }

    /// Adds what the engines of a model say.
    pub fn add_engines(&mut self, model: &ModelName, engines: Demand) {
        let sum = self.models.entry(model.clone()).or_default();
        *sum = sum.plus(engines);
    }

    /// The part of the sources that was heard.
    #[must_use]
    pub fn coverage(&self) -> f64 {
        if self.expected == 0 { 0.0 } else { f64::from(self.heard) / f64::from(self.expected) }
    }
}
