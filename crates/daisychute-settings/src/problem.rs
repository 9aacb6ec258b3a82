//! Problems found in a file, with the messages that operators see.

use std::fmt;
use std::time::Duration;

use daisychute_core::ConfigurationError;
use miette::{Diagnostic, SourceSpan};
use thiserror::Error;

use crate::hint::{Accepted, Hint, Remedy};

/// A problem found in a settings or configuration file.
#[derive(Debug, Error, Diagnostic)]
pub enum Problem {
    /// The file has invalid INI syntax.
    #[error("invalid INI syntax")]
    #[diagnostic(help(
        "lines are [section], key = value, or a comment that starts with ';' or '#'"
    ))]
    Syntax {
        /// Line at which the parser stopped.
        #[label("parsing stopped here")]
        at: SourceSpan,
        /// Error of the INI parser: what it expected there.
        source: ini::ParseError,
    },
    /// A line is neither a section header nor a key with a value.
    #[error("a line in section [{section}] has no '='")]
    #[diagnostic(help("write key = value, or start a comment with ';' or '#'"))]
    NoValue {
        /// Section header without brackets.
        section: String,
        /// Location of the line in the file.
        #[label("no '=' here")]
        at: Option<SourceSpan>,
    },
    /// A key comes before the first section header, or below an empty header.
    #[error("key {key} is outside any section")]
    #[diagnostic(help("move it below the header of its section"))]
    OutsideSections {
        /// Name of the key.
        key: String,
        /// Location of the value in the file.
        #[label("outside any section")]
        at: Option<SourceSpan>,
    },
    /// The file has a section that doesn't exist in files of this kind.
    #[error("unknown section [{section}]")]
    #[diagnostic(help("{hint}"))]
    UnknownSection {
        /// Section header without brackets.
        section: String,
        /// Known names, with the most similar one as a suggestion.
        hint: Hint,
        /// Header of the section.
        #[label("not known")]
        at: Option<SourceSpan>,
    },
    /// The section has no key of this name.
    #[error("unknown key {key} in section [{section}]")]
    #[diagnostic(help("{hint}"))]
    UnknownKey {
        /// Section header without brackets.
        section: String,
        /// Name of the key.
        key: String,
        /// Known names, with the most similar one as a suggestion.
        hint: Hint,
        /// Location of the value in the file.
        #[label("not known here")]
        at: Option<SourceSpan>,
    },
    /// A section occurs more than once.
    #[error("duplicate section [{section}]")]
    #[diagnostic(help("merge the two sections"))]
    DuplicateSection {
        /// Section header without brackets.
        section: String,
        /// Header of the later occurrence.
        #[label("duplicate")]
        at: Option<SourceSpan>,
    },
    /// A key occurs more than once in its section.
    #[error("duplicate key {key} in section [{section}]")]
    #[diagnostic(help("keep only one of them"))]
    DuplicateKey {
        /// Section header without brackets.
        section: String,
        /// Name of the key.
        key: String,
        /// Value of the later occurrence.
        #[label("duplicate")]
        at: Option<SourceSpan>,
    },
    /// A required key is missing.
    #[error("key {key} is missing in section [{section}]")]
    #[diagnostic(help("expected {accepted}"))]
    MissingKey {
        /// Section header without brackets.
        section: String,
        /// Name of the key.
        key: &'static str,
        /// The values that the key accepts.
        accepted: Accepted,
        /// Header of the section, or `None` if the file lacks the section.
        #[label("in this section")]
        at: Option<SourceSpan>,
    },
    /// The value of a key is invalid.
    #[error("{key} = {value:?} in section [{section}] is invalid")]
    #[diagnostic(help("expected {accepted}"))]
    BadValue {
        /// Section header without brackets.
        section: String,
        /// Name of the key.
        key: &'static str,
        /// The value, or `…` if the key holds a secret.
        value: String,
        /// The values that the key accepts.
        accepted: Accepted,
        /// Location of the value in the file.
        #[label("this value")]
        at: Option<SourceSpan>,
    },
    /// The file sets a key that the role of the process does not use.
    #[error("{key} = {value:?} in section [{section}] does not apply to role = {role}")]
    #[diagnostic(help("remove it, or change the role in section [process]"))]
    NotForRole {
        /// Section header without brackets.
        section: String,
        /// Name of the key.
        key: &'static str,
        /// Value of the key as written in the file.
        value: String,
        /// Role of the process as the file writes it, with the kind of the endpoint if that decides.
        role: &'static str,
        /// Location of the value in the file.
        #[label("not used by this role")]
        at: Option<SourceSpan>,
    },
    /// The name in a section header is invalid.
    #[error("invalid name in section header [{section}]")]
    #[diagnostic(help("expected {accepted}"))]
    BadName {
        /// Section header without brackets.
        section: String,
        /// The names that are valid there.
        accepted: Accepted,
        /// Header of the section.
        #[label("this name")]
        at: Option<SourceSpan>,
    },
    /// The file sets a weight or addresses an endpoint, which the system manages by itself.
    #[error("{} can't be configured", Subject { section, key: key.as_deref() })]
    #[diagnostic(help(
        "the system chooses endpoints and their shares of the traffic; set a target of the class instead: first-token, \
         between-tokens, deadline, throughput or precedence"
    ))]
    NotForOperators {
        /// Section header without brackets.
        section: String,
        /// The key, or `None` if the whole section is reserved.
        key: Option<String>,
        /// Value of the key, or header of the section.
        #[label("not allowed here")]
        at: Option<SourceSpan>,
    },
    /// Parts of the configuration contradict each other, for example a tenant names a class that doesn't exist.
    #[error("{key} in section [{section}] is invalid: {error}")]
    #[diagnostic(help("{remedy}"))]
    Inconsistent {
        /// Section header without brackets.
        section: String,
        /// Name of the key.
        key: &'static str,
        /// The inconsistency.
        error: Box<ConfigurationError>,
        /// How to resolve it.
        remedy: Remedy,
        /// Value of the key, or the section's header if the file doesn't set the key.
        #[label("here")]
        at: Option<SourceSpan>,
    },
    /// `silence` is too short: connections would be closed before the next heartbeats could arrive.
    #[error("silence = {silence} in section [timing] is shorter than {factor} heartbeat intervals of {heartbeat}",
        silence = humantime::format_duration(*silence),
        heartbeat = humantime::format_duration(*heartbeat),
        factor = crate::TimingSettings::MIN_HEARTBEATS_IN_SILENCE)]
    #[diagnostic(help("set it to at least {}, or reduce heartbeat",
        humantime::format_duration(*heartbeat * crate::TimingSettings::MIN_HEARTBEATS_IN_SILENCE)))]
    ShortSilence {
        /// Time without received data after which a connection is closed.
        silence: Duration,
        /// Interval between two heartbeats.
        heartbeat: Duration,
        /// Location of the value in the file, or of the section header if the file doesn't set it.
        #[label("this value")]
        at: Option<SourceSpan>,
    },
}

/// Subject of a message: a section, or a key in it.
struct Subject<'a> {
    section: &'a str,
    key: Option<&'a str>,
}

impl fmt::Display for Subject<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.key {
            Some(key) => write!(f, "{key} in section [{}]", self.section),
            None => write!(f, "section [{}]", self.section),
        }
    }
}

/// Collects the problems of a file, so that all are reported together.
#[derive(Debug, Default)]
pub(crate) struct Problems(Vec<Problem>);

impl Problems {
    /// Returns the value of `result`, or records its problems and returns `None`.
    pub(crate) fn record<T, E: Into<Self>>(&mut self, result: Result<T, E>) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(problems) => {
                self.0.extend(problems.into().0);
                None
            }
        }
    }

    /// Assigns the value to `target` if the file sets it, or records the problem if it is invalid.
    pub(crate) fn set<T>(&mut self, target: &mut T, result: Result<Option<T>, Problem>) {
        if let Some(Some(value)) = self.record(result) {
            *target = value;
        }
    }

    /// Returns `value` if no problem was recorded, otherwise the problems.
    pub(crate) fn into_result<T>(self, value: T) -> Result<T, Self> {
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
