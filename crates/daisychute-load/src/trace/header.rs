//! The first line of a trace.

use daisychute_core::{Class, EndpointName, TenantName};
use serde::{Deserialize, Serialize};

use super::deployment::Deployment;
use crate::generate::Scenario;

/// What the requests of a class ask for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Work {
    /// A completion by the model.
    Completion,
    /// A repeatable call of the plain service.
    Call,
    /// A call that must run at most once.
    NonRepeatableCall,
}

/// A class of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TraceClass {
    /// The class as operators give it.
    #[serde(flatten)]
    pub class: Class,
    /// What its requests ask for.
    pub work: Work,
}

/// Something that goes wrong during a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Fault {
    /// An engine is lost with all that it has.
    EngineLost {
        /// Milliseconds after the start.
        at_ms: u64,
        /// The engine.
        endpoint: EndpointName,
    },
}

/// What a replay of the trace must reach. A bound that is missing is not asked for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Outcomes {
    /// Least goodput as a part of the clairvoyant bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub goodput_of_bound: Option<f64>,
    /// Whether the goodput must be above that of every baseline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub above_baselines: Option<bool>,
    /// Most role changes as a part of those of the threshold baseline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub changes_of_threshold: Option<f64>,
    /// Least goodput as a part of that of the threshold baseline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub goodput_of_threshold: Option<f64>,
    /// Least part of the requests of classes that come first that meet their target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_classes: Option<f64>,
}

/// The first line of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The name of the trace.
    pub trace: String,
    /// The scenario that the generator made it from.
    pub scenario: Scenario,
    /// The seed of the generator.
    pub seed: u64,
    /// The deployment.
    pub deployment: Deployment,
    /// The classes; a request names one by its place here.
    pub classes: Vec<TraceClass>,
    /// The tenants; a request names one by its place here.
    pub tenants: Vec<TenantName>,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// What a replay must reach.
    pub outcomes: Outcomes,
}
