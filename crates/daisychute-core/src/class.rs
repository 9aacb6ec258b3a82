//! Classes of work and their targets.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ClassName;

/// How a class stands to the others when there is not room for all.
///
/// The order of the variants is the order of service: a smaller one goes first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Precedence {
    /// Comes first, always.
    First,
    /// Somebody waits for the answer.
    #[default]
    Interactive,
    /// May wait, and makes progress all the same.
    MayWait,
}

/// What a class is promised. Every part is optional; operators give these and never weights or addresses.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassTargets {
    /// The time to the first token, or to the whole answer of a plain service.
    pub first_token: Option<Duration>,
    /// The time between two tokens.
    pub between_tokens: Option<Duration>,
    /// The time to the end of the answer.
    pub deadline: Option<Duration>,
    /// Output tokens a second that must get through in the whole class.
    pub throughput: Option<f64>,
}

/// A class of work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Its name.
    pub name: ClassName,
    /// Whether it goes before or after the others.
    pub precedence: Precedence,
    /// What it is promised.
    pub targets: ClassTargets,
}

impl Class {
    /// The deadline of a request whose class states none.
    pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
    /// The deadline of a may-wait request whose class states none.
    pub const DEFAULT_MAY_WAIT_DEADLINE: Duration = Duration::from_secs(3_600);

    /// A class that promises nothing yet.
    #[must_use]
    pub fn new(name: ClassName, precedence: Precedence) -> Self {
        Self { name, precedence, targets: ClassTargets::default() }
    }

    /// The same class with these targets.
    #[must_use]
    pub fn targets(mut self, targets: ClassTargets) -> Self {
        self.targets = targets;
        self
    }

    /// The time that one request has until the end of its answer.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        let default = match self.precedence {
            Precedence::First | Precedence::Interactive => Self::DEFAULT_DEADLINE,
            Precedence::MayWait => Self::DEFAULT_MAY_WAIT_DEADLINE,
        };
        self.targets.deadline.unwrap_or(default)
    }
}
