//! A caller's request, read and checked.

use std::time::Duration;

use daisychute_core::{ClassName, Precedence, TenantName};
use daisychute_proto::Work;

/// A caller's request, read and checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Submission {
    /// For whom.
    pub tenant: TenantName,
    /// In which class.
    pub class: ClassName,
    /// The precedence of that class.
    pub precedence: Precedence,
    /// The time until the end of the answer.
    pub deadline: Duration,
    /// The time until the first token, where the class gives one.
    pub first_token: Option<Duration>,
    /// The target between tokens, where the class gives one.
    pub between_tokens: Option<Duration>,
    /// What is to be done.
    pub work: Work,
    /// Whether an answer that broke off may be continued by another run.
    pub continuable: bool,
}

impl Submission {
    /// Whether running it again does no harm.
    #[must_use]
    pub const fn repeatable(&self) -> bool {
        match &self.work {
            Work::Completion(_) => true,
            Work::Call(call) => call.repeatable,
        }
    }
}
