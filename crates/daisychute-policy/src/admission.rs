//! Order, bounds and refusal of the work of one endpoint.
//!
//! The order is strict by precedence, then by earliest deadline, where a tenant that has had more than its share
//! of the class is put later by what it had too much (the virtual counters of Sheng et al., "Fairness in serving
//! large language models", 2024). The queue is bounded by the time until a request's turn and never by its length:
//! what can't meet its target is refused at once, with the time after which it could.

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
