//! The planner of a region, and [`Control`], the I/O shell that runs it in a process.
//!
//! A daemon embeds [`Control`]. It drives a [`Planner`], the state machine that commits plans for a region while its
//! process holds the region's lease.
//!
//! ```
//! use daisychute_core::{Term, Time};
//! use daisychute_store::WriteId;
//! use daisychute_planner::{Planner, PlannerAction, PlannerEvent, PlannerSettings};
//!
//! let region = "morocco".try_into()?;
//! let write_id = WriteId::first("entry-1/7/plan");
//! let mut planner = Planner::new(PlannerSettings::default(), region, write_id, 7);
//! let mut out = Vec::new();
//! let acquired = PlannerEvent::Acquired { term: Term::new(1), until: Time::from_millis(5_000) };
//! planner.handle(Time::ZERO, acquired, &mut out);
//! assert!(matches!(out[0], PlannerAction::ReadPlan));
//! # Ok::<(), daisychute_core::NameError>(())
//! ```

pub mod control;
mod planner;

pub use crate::control::{Control, ControlOutput, ControlSettings};
pub use crate::planner::{PlanChange, Planner, PlannerAction, PlannerEvent, PlannerSettings};
