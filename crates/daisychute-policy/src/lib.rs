//! Admission control, endpoint selection and role planning.
//!
//! Every policy is a sans-I/O core: the caller passes in the current time and a seeded random number generator. The
//! daemons and the replay of recorded traces run the same code.
//!
//! - [`admission`] queues, admits and refuses the requests of one endpoint; each agent has one
//!   [`AdmissionController`].
//! - [`selection`] selects the endpoint of a request; each entry has one [`Selector`].
//! - [`roles`] turns demand into role changes; the holder of the planner lease has one [`RolePlanner`].
//! - [`cost`] learns from an endpoint's responses how long work takes there.
//! - [`prefix`] hashes the leading blocks of a prompt, which are pieces of fixed length. Requests whose prompts start
//!   with the same blocks can share cached prefill work.
//!
//! ```
//! use std::time::Duration;
//!
//! use daisychute_core::{ClassName, Incarnation, Precedence, RequestId, Role, TenantName, Time};
//! use daisychute_policy::{AdmissionController, AdmissionRequest, Decision, Limits};
//!
//! let mut admission = AdmissionController::new(Limits::engine(Role::Mixed));
//! let id = RequestId::new(Incarnation::new(1), 1);
//! let now = Time::from_millis(5);
//! let request = AdmissionRequest::new(id, TenantName::try_from("agdal-clerks")?, ClassName::try_from("digest")?)
//!     .precedence(Precedence::Interactive)
//!     .deadline(now + Duration::from_secs(60))
//!     .first_token(now + Duration::from_millis(1_700))
//!     .prompt_tokens(800)
//!     .max_tokens(200);
//!
//! assert_eq!(admission.submit(now, request), Decision::Admitted);
//! admission.first_token(now + Duration::from_millis(90), id, 0);
//! admission.token(now + Duration::from_millis(110), id);
//! admission.finished(now + Duration::from_millis(110), id);
//! assert_eq!(admission.load_report(now).running, 0);
//! # Ok::<(), daisychute_core::NameError>(())
//! ```

pub mod admission;
pub mod selection;
pub mod cost;
pub mod prefix;
pub mod roles;

pub use crate::admission::{AdmissionController, AdmissionRequest, Decision, Limits, RequestPhase};
pub use crate::cost::CostModel;
pub use crate::roles::{
    Demand, DemandMeter, DemandTable, EngineView, Fleet, RoleChange, RolePlanner, UnitCosts,
};
pub use crate::selection::{Candidate, NoEndpoint, Selection, SelectionQuery, Selector};
