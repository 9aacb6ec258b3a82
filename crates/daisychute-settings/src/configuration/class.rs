//! Sections `[class NAME]`.

use std::time::Duration;

use daisychute_core::{Class, ClassName, ClassTargets, Precedence};

use crate::field::raw_section;
use crate::problem::Problems;
use crate::rule::{Choice, Rate, Span};

/// The words for the precedence of a class.
pub(super) const PRECEDENCES: &[(&str, Precedence)] = &[
    ("first", Precedence::First),
    ("interactive", Precedence::Interactive),
    ("may-wait", Precedence::MayWait),
];

const FIRST_TOKEN: Span = Span { min: Duration::from_millis(1), max: Duration::from_secs(3_600) };
const BETWEEN_TOKENS: Span = Span { min: Duration::from_millis(1), max: Duration::from_secs(60) };
const DEADLINE: Span = Span { min: Duration::from_millis(1), max: Duration::from_secs(604_800) };

raw_section! {
    /// A section `[class NAME]` as it stands in the file.
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
        problems.set(&mut precedence, self.precedence.optional(&Choice(PRECEDENCES)));
        let targets = ClassTargets {
            first_token: problems.keep(self.first_token.optional(&FIRST_TOKEN)).flatten(),
            between_tokens: problems.keep(self.between_tokens.optional(&BETWEEN_TOKENS)).flatten(),
            deadline: problems.keep(self.deadline.optional(&DEADLINE)).flatten(),
            throughput: problems.keep(self.throughput.optional(&Rate)).flatten(),
        };
        problems.none_or(Class::new(name.clone(), precedence).targets(targets))
    }
}
