//! Traces of requests: a seeded generator, a replay through the decision cores on a virtual clock, and a replay against
//! a live deployment.
//!
//! ```
//! use daisychute_load::generate::{Scenario, generate};
//! use daisychute_load::trace::SampleDeployment;
//!
//! let trace = generate(SampleDeployment::RabatSale, Scenario::Steady, 1);
//! let again = generate(SampleDeployment::RabatSale, Scenario::Steady, 1);
//! assert_eq!(trace, again);
//! assert!(!trace.requests.is_empty());
//! ```

pub mod generate;
pub mod live;
pub mod replay;
pub mod trace;
