//! Classes of work and their targets.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ClassName;

/// Precedence of a class over others if there isn't capacity for all.
///
/// The order of the variants is the order of service: a smaller one goes first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Precedence {
    /// Always served before the others.
    First,
    /// Somebody waits for the response.
    #[default]
    Interactive,
    /// May wait, but isn't starved.
    MayWait,
}

/// Targets of a class. Each is optional. Operators state targets only, never weights or addresses.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassTargets {
    /// Maximum time to the first token, or to the end of the response of a plain service.
    pub first_token: Option<Duration>,
    /// Maximum inter-token latency.
    pub between_tokens: Option<Duration>,
    /// Maximum time to the end of the response.
    pub deadline: Option<Duration>,
    /// Minimum throughput of the whole class, in output tokens per second.
    pub throughput: Option<f64>,
}

/// Why the targets of a class are invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum TargetError {
    /// The first token may come later than the end of the response.
    #[error("the time to the first token is longer than the deadline")]
    FirstTokenAfterDeadline,
    /// The inter-token latency may be longer than the whole response.
    #[error("the time between tokens is longer than the deadline")]
    BetweenTokensOverDeadline,
    /// The class may wait, but has a target for the time to the first token.
    #[error("a class that may wait has no time to the first token")]
    MayWaitWithFirstToken,
    /// A time or a rate is zero, or the rate is negative or not finite.
    #[error("a target must be greater than zero")]
    Zero,
}

impl ClassTargets {
    /// Checks that the targets are valid and don't contradict each other or the precedence of the class.
    ///
    /// # Errors
    ///
    /// Returns the first violation.
    pub fn check(&self, precedence: Precedence) -> Result<(), TargetError> {
        let times = [self.first_token, self.between_tokens, self.deadline];
        let positive_rate = self.throughput.is_none_or(|it| it.is_finite() && it > 0.0);
        if times.contains(&Some(Duration::ZERO)) || !positive_rate {
            return Err(TargetError::Zero);
        }
        if precedence == Precedence::MayWait && self.first_token.is_some() {
            return Err(TargetError::MayWaitWithFirstToken);
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

/// A class of work, which groups requests with the same precedence and targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Name of the class, unique in the configuration.
    pub name: ClassName,
    /// Whether its requests are served before or after those of other classes.
    pub precedence: Precedence,
    /// Latency and throughput targets of the class.
    pub targets: ClassTargets,
}

impl Class {
    /// Deadline of a first or interactive request if its class states none.
    pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
    /// Deadline of a may-wait request if its class states none.
    pub const DEFAULT_MAY_WAIT_DEADLINE: Duration = Duration::from_secs(3_600);

    /// Creates a class without targets.
    #[must_use]
    pub fn new(name: ClassName, precedence: Precedence) -> Self {
        Self { name, precedence, targets: ClassTargets::default() }
    }

    /// Sets the targets.
    #[must_use]
    pub fn targets(mut self, targets: ClassTargets) -> Self {
        self.targets = targets;
        self
    }

    /// Returns the time that a request has until the end of its response.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        let default = match self.precedence {
            Precedence::First | Precedence::Interactive => Self::DEFAULT_DEADLINE,
            Precedence::MayWait => Self::DEFAULT_MAY_WAIT_DEADLINE,
        };
        self.targets.deadline.unwrap_or(default)
    }
}
