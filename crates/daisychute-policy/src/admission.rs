//! Admission control for one endpoint: queueing order, limits and refusals.
//!
//! Requests start strictly by precedence, then by earliest deadline. The deadlines of a tenant that got more than its
//! fair share of a class are postponed by its excess service time (the virtual counters of Sheng et al., "Fairness in
//! serving large language models", 2024). The queue is bounded by the expected waiting time, not by its length: a
//! request that can't meet its latency target is refused at once, with the time after which a retry may succeed.

mod core;
mod decision;
mod estimate;
mod fair_share;
mod limits;
mod prompt_clock;
mod queue;
mod running;
mod admission_request;

pub use self::admission_request::{AdmissionRequest, RequestPhase};
pub use self::core::AdmissionController;
pub use self::decision::Decision;
pub use self::fair_share::FairShare;
pub use self::limits::Limits;
