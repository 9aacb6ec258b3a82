//! The demand for each model, summed over entries and data centres.

use std::collections::BTreeMap;

use daisychute_core::{ModelName, Time};
use serde::{Deserialize, Serialize};

/// The demand for one model. Rates of work are in engine-seconds per second, that is, the number of engines that it
/// keeps busy. Work is deferrable if the precedence of its request is may-wait, and urgent otherwise.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Rate of prefill work for urgent requests, without cached prompt tokens.
    pub prefill: f64,
    /// Rate of decode work for urgent requests.
    pub decode: f64,
    /// Rate of prefill and decode work for deferrable requests.
    pub deferrable: f64,
    /// Prefill time of the queued urgent prompts, in engine-seconds.
    pub prefill_backlog: f64,
    /// Number of full decode batches that the streams with a latency target make up, over all engines.
    pub decode_busy: f64,
}

impl Demand {
    /// Returns the sum of two demands.
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

/// The demand by model: of one data centre at a collector, of all data centres at the planner.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandTable {
    /// The demand for each model.
    pub models: BTreeMap<ModelName, Demand>,
    /// When the demand was measured; the oldest time after a merge.
    pub as_of: Time,
    /// Number of sources (entries) that the table includes.
    pub heard: u32,
    /// Number of sources (entries) that the table should include.
    pub expected: u32,
}

impl DemandTable {
    /// Adds the table of another source. The result is as old as the older one.
    pub fn merge(&mut self, other: &Self) {
        for (model, demand) in &other.models {
            let sum = self.models.entry(model.clone()).or_default();
            *sum = sum.plus(*demand);
        }
        self.as_of = if self.heard == 0 { other.as_of } else { self.as_of.min(other.as_of) };
        self.heard += other.heard;
        self.expected += other.expected;
    }

    /// Adds the demand that the engines of a model report.
    pub fn add_engines(&mut self, model: &ModelName, engines: Demand) {
        let sum = self.models.entry(model.clone()).or_default();
        *sum = sum.plus(engines);
    }

    /// Returns the share of the expected sources that the table includes; zero if none are expected.
    #[must_use]
    pub fn coverage(&self) -> f64 {
        if self.expected == 0 { 0.0 } else { f64::from(self.heard) / f64::from(self.expected) }
    }
}
