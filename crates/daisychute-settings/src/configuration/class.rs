//! Sections `[class NAME]`.

use std::time::Duration;

use daisychute_core::{Class, ClassName, ClassTargets, Precedence};

use crate::field::raw_section;
use crate::problem::Problems;
use crate::rule::{DurationRange, OneOf, PositiveNumber};

/// Values of the key `precedence`.
pub(super) const PRECEDENCES: &[(&str, Precedence)] = &[
    ("first", Precedence::First),
    ("interactive", Precedence::Interactive),
    ("may-wait", Precedence::MayWait),
];

const FIRST_TOKEN: DurationRange =
    DurationRange { min: Duration::from_millis(1), max: Duration::from_secs(3_600) };
const BETWEEN_TOKENS: DurationRange =
    DurationRange { min: Duration::from_millis(1), max: Duration::from_secs(60) };
const DEADLINE: DurationRange =
    DurationRange { min: Duration::from_millis(1), max: Duration::from_secs(604_800) };

raw_section! {
    /// An unchecked section `[class NAME]`.
    RawClass {
        precedence = "precedence",
        first_token = "first-token",
        between_tokens = "between-tokens",
        deadline = "deadline",
        throughput = "throughput",
    }
}

impl RawClass {
    pub(super) fn check(&self, name: &ClassName) -> Result<Class, Problems> {
        let mut problems = Problems::default();
        let mut precedence = Precedence::default();
        problems.set(&mut precedence, self.precedence.optional(&OneOf(PRECEDENCES)));
        let targets = ClassTargets {
            first_token: problems.record(self.first_token.optional(&FIRST_TOKEN)).flatten(),
            between_tokens: problems
                .record(self.between_tokens.optional(&BETWEEN_TOKENS))
                .flatten(),
            deadline: problems.record(self.deadline.optional(&DEADLINE)).flatten(),
            throughput: problems.record(self.throughput.optional(&PositiveNumber)).flatten(),
        };
        problems.into_result(Class::new(name.clone(), precedence).targets(targets))
    }
}
