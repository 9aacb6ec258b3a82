//! One fault of a file.

use std::fmt;
use std::time::Duration;

use miette::{Diagnostic, SourceSpan};
use thiserror::Error;

use crate::ByteSize;

/// What a key would have accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Accepted {
    /// A name.
    Name,
    /// Names separated by commas.
    Names,
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
    pub closest: Option<&'static str>,
    /// All known words.
    pub known: Vec<&'static str>,
}

impl Hint {
    /// The least similarity of a suggestion, from 0 to 1.
    const LEAST_SIMILARITY: f64 = 0.7;

    pub(crate) fn new(found: &str, known: impl IntoIterator<Item = &'static str>) -> Self {
        let known: Vec<_> = known.into_iter().collect();
        let closest = known
            .iter()
            .map(|it| (strsim::jaro_winkler(found, it), *it))
            .filter(|(similarity, _)| *similarity >= Self::LEAST_SIMILARITY)
            .max_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, it)| it);
        Self { closest, known }
    }
}

impl fmt::Display for Hint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(closest) = self.closest {
            write!(f, "did you mean {closest:?}? ")?;
        }
        write!(f, "known: {}", self.known.join(", "))
    }
}

/// One fault of a settings or configuration file.
#[derive(Debug, Error, Diagnostic)]
pub enum Problem {
    /// The file is not INI.
    #[error("this is not INI")]
    #[diagnostic(help(
        "lines are [section], key = value, or a comment that starts with ';' or '#'"
    ))]
    Syntax {
        /// Where reading stopped.
        #[label("{source}")]
        at: SourceSpan,
        /// What the reader expected.
        source: ini::ParseError,
    },
    /// A line is neither a section nor a key with its value.
    #[error("a line of section [{section}] has no '='")]
    #[diagnostic(help("write key = value, or start a comment with ';' or '#'"))]
    NoValue {
        /// The section.
        section: String,
        /// The line.
        #[label("no '=' here")]
        at: Option<SourceSpan>,
    },
    /// The section is not known.
    #[error("unknown section [{section}]")]
    #[diagnostic(help("{hint}"))]
    UnknownSection {
        /// The section.
        section: String,
        /// What may have been meant.
        hint: Hint,
        /// Its header.
        #[label("not known")]
        at: Option<SourceSpan>,
    },
    /// The key is not known in its section.
    #[error("unknown key {key} in section [{section}]")]
    #[diagnostic(help("{hint}"))]
    UnknownKey {
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// What may have been meant.
        hint: Hint,
        /// The key's line.
        #[label("not known here")]
        at: Option<SourceSpan>,
    },
    /// A section stands twice.
    #[error("section [{section}] stands twice")]
    #[diagnostic(help("move its keys to one place"))]
    DuplicateSection {
        /// The section.
        section: String,
        /// The later header.
        #[label("again here")]
        at: Option<SourceSpan>,
    },
    /// A key stands twice in its section.
    #[error("key {key} stands twice in section [{section}]")]
    #[diagnostic(help("keep one of them"))]
    DuplicateKey {
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The later one.
        #[label("again here")]
        at: Option<SourceSpan>,
    },
    /// A key that has no default is missing.
    #[error("key {key} is missing in section [{section}]")]
    #[diagnostic(help("give {accepted}"))]
    MissingKey {
        /// The section.
        section: String,
        /// The key.
        key: &'static str,
        /// What it accepts.
        accepted: Accepted,
        /// The section's header, where there is one.
        #[label("in this section")]
        at: Option<SourceSpan>,
    },
    /// A value is not accepted.
    #[error("{key} = {value:?} in section [{section}] is not accepted")]
    #[diagnostic(help("give {accepted}"))]
    BadValue {
        /// The section.
        section: String,
        /// The key.
        key: &'static str,
        /// The value, or `…` where it is secret.
        value: String,
        /// What the key accepts.
        accepted: Accepted,
        /// The value in the file.
        #[label("this value")]
        at: Option<SourceSpan>,
    },
    /// A key is given that the role of the process does not use.
    #[error("{key} = {value:?} in section [{section}] does not go with role = {role}")]
    #[diagnostic(help("remove it, or change the role in section [process]"))]
    NotForRole {
        /// The section.
        section: String,
        /// The key.
        key: &'static str,
        /// The value.
        value: String,
        /// The role.
        role: &'static str,
        /// The value in the file.
        #[label("not used by this role")]
        at: Option<SourceSpan>,
    },
    /// A connection would be given up before its next heartbeats could arrive.
    #[error("silence = {silence} in section [timing] is under {factor} heartbeats of {heartbeat}",
        silence = humantime::format_duration(*silence),
        heartbeat = humantime::format_duration(*heartbeat),
        factor = crate::TimingSettings::LEAST_HEARTBEATS_IN_SILENCE)]
    #[diagnostic(help("give at least {}, or shorten heartbeat",
        humantime::format_duration(*heartbeat * crate::TimingSettings::LEAST_HEARTBEATS_IN_SILENCE)))]
    ShortSilence {
        /// The time after which a silent connection is given up.
        silence: Duration,
        /// The time between two heartbeats.
        heartbeat: Duration,
        /// The value in the file.
        #[label("this value")]
        at: Option<SourceSpan>,
    },
}

/// The faults found so far.
#[derive(Debug, Default)]
pub(crate) struct Problems(Vec<Problem>);

impl Problems {
    /// Takes the value, or notes why there is none.
    pub(crate) fn keep<T, E: Into<Self>>(&mut self, result: Result<T, E>) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(problems) => {
                self.0.extend(problems.into().0);
                None
            }
        }
    }

    /// Replaces `place` by a value that was given, or notes why it is not accepted.
    pub(crate) fn set<T>(&mut self, place: &mut T, result: Result<Option<T>, Problem>) {
        if let Some(Some(value)) = self.keep(result) {
            *place = value;
        }
    }

    /// The value, if nothing is wrong.
    pub(crate) fn none_or<T>(self, value: T) -> Result<T, Self> {
        if self.is_empty() { Ok(value) } else { Err(self) }
    }

    pub(crate) fn push(&mut self, problem: Problem) {
        self.0.push(problem);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn into_vec(self) -> Vec<Problem> {
        self.0
    }
}

impl From<Problem> for Problems {
    fn from(problem: Problem) -> Self {
        Self(vec![problem])
    }
}
