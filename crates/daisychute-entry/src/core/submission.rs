//! A client's request after parsing and validation.

use std::time::Duration;

use daisychute_core::{ClassName, Precedence, TenantName};
use daisychute_proto::Work;

/// A client's request after parsing and validation.
#[derive(Debug, Clone, PartialEq)]
pub struct Submission {
    /// Tenant that the request is accounted to.
    pub tenant: TenantName,
    /// Class that sets the precedence, the deadline and the latency targets.
    pub class: ClassName,
    /// Precedence of the class, for admission at the agent.
    pub precedence: Precedence,
    /// Maximum time from arrival to the end of the response.
    pub deadline: Duration,
    /// Target for the time to first token; `None` if the class sets none.
    pub first_token: Option<Duration>,
    /// Target for the inter-token latency; `None` if the class sets none.
    pub between_tokens: Option<Duration>,
    /// The completion or service call to run.
    pub work: Work,
    /// Whether another run may continue a truncated response.
    pub continuable: bool,
}

impl Submission {
    /// Whether the request may be run more than once.
    #[must_use]
    pub const fn repeatable(&self) -> bool {
        match &self.work {
            Work::Completion(_) => true,
            Work::Call(call) => call.repeatable,
        }
    }
}
