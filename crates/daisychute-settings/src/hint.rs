//! What would be accepted in place of what a file holds.

use std::fmt;
use std::time::Duration;

use crate::ByteSize;

/// What a key would have accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Accepted {
    /// A name.
    Name,
    /// Names separated by commas.
    Names,
    /// A bearer token.
    Token,
    /// Paths separated by commas, each with its class where that differs.
    RoutePaths,
    /// A rate in tokens a second.
    Rate,
    /// An IP address and port.
    Address,
    /// IP addresses and ports separated by commas.
    Addresses,
    /// A base URL.
    Url,
    /// A time between two bounds.
    Duration {
        /// The shortest.
        min: Duration,
        /// The longest.
        max: Duration,
    },
    /// A size between two bounds.
    Size {
        /// The smallest.
        min: ByteSize,
        /// The largest.
        max: ByteSize,
    },
    /// A whole number between two bounds.
    Count {
        /// The smallest.
        min: u64,
        /// The largest.
        max: u64,
    },
    /// One of these words.
    OneOf(Vec<&'static str>),
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
                "paths that start with '/', separated by commas, each followed by its class where it has one of its \
                 own, for example /counts, /panels first",
            ),
            Self::Rate => f.write_str("tokens a second, greater than 0, for example 1200"),
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
        }
    }
}

/// What may have been meant by an unknown section or key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hint {
    /// The closest known word, where one is close.
    pub closest: Option<String>,
    /// All known words.
    pub known: Vec<String>,
}

impl Hint {
    /// The least similarity of a suggestion, from 0 to 1.
    const LEAST_SIMILARITY: f64 = 0.6;

    pub(crate) fn new(found: &str, known: impl IntoIterator<Item = String>) -> Self {
        let known: Vec<_> = known.into_iter().collect();
        let closest = known
            .iter()
            .map(|it| (similarity(found, it), it))
            .filter(|(similarity, _)| *similarity >= Self::LEAST_SIMILARITY)
            .max_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, it)| it.clone());
        Self { closest, known }
    }
}

/// How alike a word and the first word of a header or key are, from 0 to 1.
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

/// How to make the parts of a configuration fit together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Remedy {
    /// Name a class that exists.
    KnownClass(Hint),
    /// Add the default class to the tenant's classes.
    AddToClasses,
    /// Give each tenant a token of its own.
    OwnToken,
    /// Let a path stand once, as repeatable or not.
    OneKind,
    /// Give a longer deadline or a shorter time.
    LongerDeadline,
    /// Drop the time to the first token, or let the class not wait.
    WaitOrStart,
    /// Give a target greater than zero.
    Positive,
}

impl fmt::Display for Remedy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::KnownClass(hint) => write!(f, "name a class that has a section; {hint}"),
            Self::AddToClasses => f.write_str("add it to classes, or give one of those"),
            Self::OwnToken => f.write_str("give each tenant a token of its own"),
            Self::OneKind => {
                f.write_str("let each path stand once, as repeatable or as non-repeatable")
            }
            Self::LongerDeadline => f.write_str("give a time that is at most the deadline"),
            Self::WaitOrStart => f.write_str("remove it, or give precedence = interactive"),
            Self::Positive => f.write_str("give a target greater than zero, or remove it"),
        }
    }
}
