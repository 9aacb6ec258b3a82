//! Header of a trace: the first line of its file.

use daisychute_core::{Class, EndpointName, TenantName};
use serde::{Deserialize, Serialize};

use super::deployment::Deployment;
use crate::generate::Scenario;

/// Kind of work that the requests of a class ask for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Work {
    /// A completion by the model, as a stream.
    Completion,
    /// A call of the plain service that may run more than once.
    Call,
    /// A call of the plain service that must run at most once.
    NonRepeatableCall,
}

/// A request class of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TraceClass {
    /// The class as in the configuration of a deployment.
    #[serde(flatten)]
    pub class: Class,
    /// Kind of work of all requests of the class.
    pub work: Work,
}

/// A fault that a replay injects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Fault {
    /// An engine is lost together with its requests and its cache.
    EngineLost {
        /// Time of the loss, in milliseconds after the start of the trace.
        at_ms: u64,
        /// Endpoint of the lost engine.
        endpoint: EndpointName,
    },
}

/// Outcomes that a replay of the trace must reach. A field that is `None` isn't checked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Outcomes {
    /// Minimum goodput as a share of the clairvoyant bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub goodput_of_bound: Option<f64>,
    /// Whether the goodput must be above that of every baseline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub above_baselines: Option<bool>,
    /// Maximum number of role changes as a share of those of the threshold baseline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub changes_of_threshold: Option<f64>,
    /// Minimum goodput as a share of that of the threshold baseline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub goodput_of_threshold: Option<f64>,
    /// Minimum share of the requests of classes with precedence `First` that meet their targets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_classes: Option<f64>,
}

/// Header of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// Name of the trace: deployment and scenario.
    pub trace: String,
    /// Scenario that the trace was generated from.
    pub scenario: Scenario,
    /// Seed that the trace was generated with.
    pub seed: u64,
    /// Deployment that the trace is for.
    pub deployment: Deployment,
    /// Classes; a request refers to one by its index here.
    pub classes: Vec<TraceClass>,
    /// Tenants; a request refers to one by its index here.
    pub tenants: Vec<TenantName>,
    /// Faults that a replay injects.
    pub faults: Vec<Fault>,
    /// Outcomes that a replay must reach.
    pub outcomes: Outcomes,
}
