//! Consistency checks across the sections of a configuration, with the locations of problems in the file.

use daisychute_core::{Configuration, ConfigurationError, TargetError};

use crate::document::Document;
use crate::hint::{Hint, Remedy};
use crate::problem::{Problem, Problems};

/// Returns an error if sections of the configuration contradict each other.
pub(super) fn check(configuration: &Configuration, document: &Document) -> Result<(), Problems> {
    let mut problems = Problems::default();
    for error in configuration.problems() {
        problems.push(locate(error, configuration, document));
    }
    problems.into_result(())
}

fn locate(
    error: ConfigurationError,
    configuration: &Configuration,
    document: &Document,
) -> Problem {
    let (kind, name, key) = error_location(&error);
    let remedy = remedy(&error, configuration);
    let found = document.named_sections(kind).into_iter().find(|(it, _)| *it == name);
    let section = found.map_or_else(String::new, |(_, it)| it.header().to_owned());
    let at = found.and_then(|(_, it)| it.field(key).at());
    Problem::Inconsistent { section, key, error: Box::new(error), remedy, at }
}

/// Returns the kind and name of the section that an error concerns, and the key in it.
fn error_location(error: &ConfigurationError) -> (&'static str, &str, &'static str) {
    match error {
        ConfigurationError::Targets { class, error } => {
            ("class", class.as_str(), target_key(*error))
        }
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

fn target_key(error: TargetError) -> &'static str {
    match error {
        TargetError::FirstTokenAfterDeadline | TargetError::MayWaitWithFirstToken => "first-token",
        TargetError::BetweenTokensOverDeadline => "between-tokens",
        TargetError::Zero => "throughput",
    }
}

fn remedy(error: &ConfigurationError, configuration: &Configuration) -> Remedy {
    let class_names = || configuration.classes.keys().map(|it| it.as_str().to_owned());
    match error {
        ConfigurationError::Targets { error: TargetError::MayWaitWithFirstToken, .. } => {
            Remedy::RemoveOrInteractive
        }
        ConfigurationError::Targets { error: TargetError::Zero, .. } => Remedy::Positive,
        ConfigurationError::Targets { .. } => Remedy::WithinDeadline,
        ConfigurationError::TenantClass { class, .. }
        | ConfigurationError::RouteClass { class, .. } => {
            Remedy::KnownClass(Hint::new(class.as_str(), class_names()))
        }
        ConfigurationError::DefaultClass { .. } => Remedy::AddToClasses,
        ConfigurationError::SharedToken { .. } => Remedy::UniqueToken,
        ConfigurationError::DuplicateRoute { .. } => Remedy::UniquePath,
    }
}
