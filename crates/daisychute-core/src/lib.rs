//! Identifiers, units and validated types shared by all crates of daisychute.
//!
//! The crate does no I/O and reads no clock. Time is passed in as [`Time`], names are shared immutable strings, and raw
//! input is validated through `TryFrom`.
//!
//! ```
//! use std::time::Duration;
//!
//! use daisychute_core::{ModelName, Time};
//!
//! let model = ModelName::try_from("clerk-lm")?;
//! assert_eq!(model.as_str(), "clerk-lm");
//! assert_eq!(Time::from_micros(5) + Duration::from_micros(2), Time::from_micros(7));
//! # Ok::<(), daisychute_core::NameError>(())
//! ```

mod class;
mod configuration;
mod drains;
mod endpoint;
mod error;
mod incarnation;
mod load;
mod model;
mod name;
mod outcome;
mod plan;
mod request_id;
mod revision;
mod service;
mod status;
mod tenant;
mod time;

pub use crate::class::{Class, ClassTargets, Precedence, TargetError};
pub use crate::configuration::{Configuration, ConfigurationError, Preference};
pub use crate::drains::Drains;
pub use crate::endpoint::{EndpointKind, EndpointRecord, EndpointState, EngineTarget, Role};
pub use crate::error::NameError;
pub use crate::incarnation::Incarnation;
pub use crate::load::LoadReport;
pub use crate::model::Model;
pub use crate::name::{
    AdapterName, ClassName, DataCentreName, DeploymentName, EndpointName, InstanceName, ModelName,
    ModelVersion, ProcessName, RegionName, ServiceName, SoftwareVersion, TenantName,
};
pub use crate::outcome::{FinishReason, Refusal, RefusalReason, Usage, Verdict};
pub use crate::plan::{DesiredState, Plan};
pub use crate::request_id::{ParseRequestIdError, RequestId};
pub use crate::revision::{Era, Revision, Term};
pub use crate::service::{Route, RouteKind, Service};
pub use crate::status::{
    Duty, EndpointStatus, PeerStatus, ProcessRole, ProcessState, ProcessStatus, Revisions,
};
pub use crate::tenant::Tenant;
pub use crate::time::Time;
