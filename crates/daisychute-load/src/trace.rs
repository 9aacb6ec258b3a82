//! Traces of requests.
//!
//! A trace is a file of JSON lines. The first line is the [`Header`]: the deployment, its classes and tenants, the
//! faults and the outcomes that a replay must reach. Each further line is one [`Request`] as an array.

mod deployment;
mod file;
mod header;
mod request;

pub use self::deployment::{Deployment, EndpointLocation, EngineSpeed, SampleDeployment};
pub use self::file::{Trace, TraceError};
pub use self::header::{Fault, Header, Outcomes, TraceClass, Work};
pub use self::request::Request;
