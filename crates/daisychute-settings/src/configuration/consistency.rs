//! Consistency checks across the sections of a configuration, with the locations of problems in the file.

use daisychute_core::{ClassName, Configuration, ConfigurationError, TargetError};

use crate::document::{Document, Section};
use crate::hint::{Hint, Remedy};
use crate::problem::{Problem, Problems};
use crate::rule::{Name, RoutePaths};

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
    let key = match (&error, found) {
        (ConfigurationError::RouteClass { class, .. }, Some((_, it))) => class_key(it, class),
        (ConfigurationError::DuplicateRoute { path, .. }, Some((_, it))) => path_key(it, path),
        _ => key,
    };
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

/// Returns the key of a service's section that names a class.
fn class_key(section: Section<'_>, class: &ClassName) -> &'static str {
    let names_class = |key| {
        let paths = section.field(key).optional_or(Vec::new(), &RoutePaths).unwrap_or_default();
        paths.iter().any(|(_, it)| it.as_ref() == Some(class))
    };
    let default_class = section.field("class").optional(&Name::<ClassName>::new());
    match default_class {
        Ok(Some(it)) if it == *class => "class",
        _ if names_class("repeatable") => "repeatable",
        _ => "non-repeatable",
    }
}

/// Returns the key of a service's section that has a path for the second time.
fn path_key(section: Section<'_>, path: &str) -> &'static str {
    let paths = section.field("non-repeatable").optional_or(Vec::new(), &RoutePaths);
    let is_listed = paths.unwrap_or_default().iter().any(|(it, _)| it == path);
    if is_listed { "non-repeatable" } else { "repeatable" }
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
