//! Help texts: valid values, suggestions and remedies.

use std::fmt;
use std::time::Duration;

use crate::ByteSize;

/// The values that a key accepts. Displayed after "expected".
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Accepted {
    /// A name of a process, region, class and so on.
    Name,
    /// A comma-separated list of names.
    Names,
    /// A bearer token.
    Token,
    /// A comma-separated list of paths, each with an optional class.
    RoutePaths,
    /// A finite number greater than zero.
    PositiveNumber,
    /// An IP address with a port.
    Address,
    /// A comma-separated list of IP addresses with ports.
    Addresses,
    /// An `http://` base URL.
    Url,
    /// A duration within inclusive bounds.
    Duration {
        /// Shortest valid duration.
        min: Duration,
        /// Longest valid duration.
        max: Duration,
    },
    /// A size in bytes within inclusive bounds.
    Size {
        /// Smallest valid size.
        min: ByteSize,
        /// Largest valid size.
        max: ByteSize,
    },
    /// A whole number within inclusive bounds.
    Count {
        /// Smallest valid number.
        min: u64,
        /// Largest valid number.
        max: u64,
    },
    /// One of a fixed set of words.
    OneOf(Vec<&'static str>),
    /// A comma-separated list of words of a fixed set.
    AnyOf(Vec<&'static str>),
}

impl fmt::Display for Accepted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Name => f.write_str("a name of 1 to 63 letters, digits, '.', '_' and '-'"),
            Self::Names => {
                f.write_str("names separated by commas, each of letters, digits, '.', '_' and '-'")
            }
            Self::Token => f.write_str("1 to 256 letters, digits, '-', '.', '_', '~', '+', '/' and '='"),
            Self::RoutePaths => f.write_str(
                "paths that start with '/', separated by commas, each optionally followed by a class, for example \
                 /counts, /panels first",
            ),
            Self::PositiveNumber => f.write_str("a number greater than 0, for example 0.5 or 1200"),
            Self::Address => f.write_str("an IP address with a port, for example 127.0.0.1:4000"),
            Self::Addresses => f.write_str("IP addresses with ports, separated by commas"),
            Self::Url => f.write_str("a base URL, for example http://127.0.0.1:7000"),
            Self::Duration { min, max } => {
                let (min, max) =
                    (humantime::format_duration(*min), humantime::format_duration(*max));
                write!(f, "a time from {min} to {max}, for example 250ms or 8s")
            }
            Self::Size { min, max } => write!(f, "a size from {min} to {max}, for example 64KiB"),
            Self::Count { min, max } => write!(f, "a whole number from {min} to {max}"),
            Self::OneOf(words) => write!(f, "one of: {}", words.join(", ")),
            Self::AnyOf(words) => write!(f, "any of these, separated by commas: {}", words.join(", ")),
        }
    }
}

/// Suggestion for an unknown section, key or class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hint {
    /// Most similar known name, or `None` if all are too different.
    pub closest: Option<String>,
    /// All names that are valid there.
    pub known: Vec<String>,
}

impl Hint {
    /// Minimum similarity of a suggestion, from 0 to 1.
    const MIN_SIMILARITY: f64 = 0.6;

    pub(crate) fn new(found: &str, known: impl IntoIterator<Item = String>) -> Self {
        let known: Vec<_> = known.into_iter().collect();
        let closest = known
            .iter()
            .map(|it| (similarity(found, it), it))
            .filter(|(similarity, _)| *similarity >= Self::MIN_SIMILARITY)
            .max_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, it)| it.clone());
        Self { closest, known }
    }
}

/// Similarity of `found` and the first word of `known`, from 0 (different) to 1 (equal).
fn similarity(found: &str, known: &str) -> f64 {
    let first = known.split_whitespace().next().unwrap_or_default();
    strsim::normalized_damerau_levenshtein(found, first)
}

impl fmt::Display for Hint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(closest) = &self.closest {
            write!(f, "did you mean {closest:?}? ")?;
        }
        write!(f, "known: {}", self.known.join(", "))
    }
}

/// How an operator resolves an inconsistency of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Remedy {
    /// Use the name of an existing class.
    KnownClass(Hint),
    /// Add the default class to the tenant's classes.
    AddToClasses,
    /// Use a different token for each tenant.
    UniqueToken,
    /// List a path only once, either as repeatable or as non-repeatable.
    UniquePath,
    /// Reduce the target to at most the deadline.
    WithinDeadline,
    /// Remove the first-token target, or make the class interactive.
    RemoveOrInteractive,
    /// Set the target above zero, or remove it.
    Positive,
}

impl fmt::Display for Remedy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::KnownClass(hint) => {
                write!(f, "use the name of a class that has a section; {hint}")
            }
            Self::AddToClasses => f.write_str("add it to classes, or use one of those"),
            Self::UniqueToken => f.write_str("use a different token for each tenant"),
            Self::UniquePath => {
                f.write_str("list each path only once, as repeatable or as non-repeatable")
            }
            Self::WithinDeadline => f.write_str("set it to at most the deadline"),
            Self::RemoveOrInteractive => f.write_str("remove it, or set precedence = interactive"),
            Self::Positive => f.write_str("set it above zero, or remove it"),
        }
    }
}
