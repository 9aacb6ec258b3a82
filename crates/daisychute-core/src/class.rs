//! Classes of work and their targets.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

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

/// Why the targets of a class can't all be meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum TargetError {
    /// The first token may come later than the end of the answer.
    #[error("the time to the first token is longer than the deadline")]
    FirstTokenAfterDeadline,
    /// Two tokens may be further apart than the whole answer may take.
    #[error("the time between tokens is longer than the deadline")]
    BetweenTokensOverDeadline,
    /// The class may wait, and must start by a certain time.
    #[error("a class that may wait has no time to the first token")]
    WaitsAndStarts,
    /// A time or a rate is zero, or the rate is no number.
    #[error("a target must be greater than zero")]
    Zero,
}

impl ClassTargets {
    /// Checks that all of them can be meant together.
    ///
    /// # Errors
    ///
    /// The first pair that contradict each other.
    pub fn check(&self, precedence: Precedence) -> Result<(), TargetError> {
        let times = [self.first_token, self.between_tokens, self.deadline];
        let positive_rate = self.throughput.is_none_or(|it| it.is_finite() && it > 0.0);
        if times.contains(&Some(Duration::ZERO)) || !positive_rate {
            return Err(TargetError::Zero);
        }
        if precedence == Precedence::MayWait && self.first_token.is_some() {
            return Err(TargetError::WaitsAndStarts);
        }
        let Some(deadline) = self.deadline else { return Ok(()) };
        if self.first_token.is_some_and(|it| it > deadline) {
            return Err(TargetError::FirstTokenAfterDeadline);
        }
        if self.between_tokens.is_some_and(|it| it > deadline) {
            return Err(TargetError::BetweenTokensOverDeadline);
        }
        Ok(())
    }
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
