//! The agent: the process beside one endpoint that forwards requests and reconfiguration orders to it.
//!
//! [`core::AgentCore`] is the sans-I/O core for requests and [`orders::Orders`] the one for reconfiguration orders.
//! [`shell`] does the I/O.
//!
//! ```
//! use daisychute_agent::Fifo;
//! use daisychute_agent::core::{AgentConfig, AgentCore};
//! use daisychute_core::{EndpointKind, EndpointRecord, EndpointState, Incarnation};
//!
//! let record = EndpointRecord {
//!     endpoint: "sign-feed-1".try_into()?,
//!     instance: "i-1".try_into()?,
//!     data_centre: "agdal".try_into()?,
//!     kind: EndpointKind::Service("sign-feed".try_into()?),
//!     agent: "127.0.0.1:4100".parse()?,
//!     incarnation: Incarnation::new(1),
//!     state: EndpointState::Live,
//!     target: None,
//! };
//! let core = AgentCore::new(AgentConfig::default(), Fifo::new(8), record);
//! assert_eq!(core.open_requests(), 0);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod admission_policy;
mod policy_admission;
pub mod core;
pub mod orders;
pub mod shell;

pub use crate::admission_policy::{AdmissionPolicy, Fifo};
pub use crate::policy_admission::PolicyAdmission;
