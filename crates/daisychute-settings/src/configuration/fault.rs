//! Faults between the parts of a configuration, with their places in the file.

use daisychute_core::{Configuration, ConfigurationError, TargetError};

use crate::document::Document;
use crate::hint::{Hint, Remedy};
use crate::problem::{Problem, Problems};

/// Refuses a configuration whose parts don't fit together.
pub(super) fn check(configuration: &Configuration, document: &Document) -> Result<(), Problems> {
    let mut problems = Problems::default();
    for error in configuration.problems() {
        problems.push(locate(error, configuration, document));
    }
    problems.none_or(())
}

fn locate(
    error: ConfigurationError,
    configuration: &Configuration,
    document: &Document,
) -> Problem {
    let (kind, name, key) = place(&error);
    let remedy = remedy(&error, configuration);
    let found = document.named(kind).into_iter().find(|(it, _)| *it == name);
    let section = found.map_or_else(String::new, |(_, it)| it.header().to_owned());
    let at = found.and_then(|(_, it)| it.field(key).at());
    Problem::Mismatch { section, key, error: Box::new(error), remedy, at }
}

/// The kind and name of the section, and the key in it, that an error is about.
fn place(error: &ConfigurationError) -> (&'static str, &str, &'static str) {
    match error {
        ConfigurationError::Targets { class, error } => ("class", class.as_str(), target(*error)),
        ConfigurationError::TenantClass { tenant, .. } => ("tenant", tenant.as_str(), "classes"),
        ConfigurationError::DefaultClass { tenant, .. } => {
            ("tenant", tenant.as_str(), "default-class")
        }
        ConfigurationError::SharedToken { second, .. } => ("tenant", second.as_str(), "token"),
        ConfigurationError::RouteClass { service, .. } => ("service", service.as_str(), "class"),
        ConfigurationError::DuplicateRoute { service, .. } => {
            ("service", service.as_str(), "non-repeatable")
        }
    }
}

fn target(error: TargetError) -> &'static str {
    match error {
        TargetError::FirstTokenAfterDeadline | TargetError::MayWaitWithFirstToken => "first-token",
        TargetError::BetweenTokensOverDeadline => "between-tokens",
        TargetError::Zero => "throughput",
    }
}

fn remedy(error: &ConfigurationError, configuration: &Configuration) -> Remedy {
    let known = || configuration.classes.keys().map(|it| it.as_str().to_owned());
    match error {
        ConfigurationError::Targets { error: TargetError::MayWaitWithFirstToken, .. } => {
            Remedy::WaitOrStart
        }
        ConfigurationError::Targets { error: TargetError::Zero, .. } => Remedy::Positive,
        ConfigurationError::Targets { .. } => Remedy::LongerDeadline,
        ConfigurationError::TenantClass { class, .. }
        | ConfigurationError::RouteClass { class, .. } => {
            Remedy::KnownClass(Hint::new(class.as_str(), known()))
        }
        ConfigurationError::DefaultClass { .. } => Remedy::AddToClasses,
        ConfigurationError::SharedToken { .. } => Remedy::OwnToken,
        ConfigurationError::DuplicateRoute { .. } => Remedy::OneKind,
    }
}
