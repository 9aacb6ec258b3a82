//! One fault of a file.

use std::fmt;
use std::time::Duration;

use daisychute_core::ConfigurationError;
use miette::{Diagnostic, SourceSpan};
use thiserror::Error;

use crate::hint::{Accepted, Hint, Remedy};

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
        #[label("reading stopped here")]
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
    /// A key stands before the first section, or in one without a name.
    #[error("key {key} stands in no section")]
    #[diagnostic(help("put it below the header of its section"))]
    OutsideSections {
        /// The key.
        key: String,
        /// The value in the file.
        #[label("in no section")]
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
    /// The name in a section's header is not accepted.
    #[error("the name in [{section}] is not accepted")]
    #[diagnostic(help("give {accepted}"))]
    BadName {
        /// The section.
        section: String,
        /// What is accepted.
        accepted: Accepted,
        /// Its header.
        #[label("this name")]
        at: Option<SourceSpan>,
    },
    /// The file gives a weight or names endpoints, which the system chooses by itself.
    #[error("{} is not for operators to give", Subject { section, key: key.as_deref() })]
    #[diagnostic(help(
        "the system chooses endpoints and shares; state a target of the class instead: first-token, \
         between-tokens, deadline, throughput or precedence"
    ))]
    NotForOperators {
        /// The section.
        section: String,
        /// The key; none where it is the whole section.
        key: Option<String>,
        /// Its place.
        #[label("not accepted here")]
        at: Option<SourceSpan>,
    },
    /// Parts of a configuration don't fit together.
    #[error("{key} in section [{section}] is not accepted: {error}")]
    #[diagnostic(help("{remedy}"))]
    Mismatch {
        /// The section.
        section: String,
        /// The key.
        key: &'static str,
        /// What doesn't fit.
        error: Box<ConfigurationError>,
        /// What would be accepted.
        remedy: Remedy,
        /// The value, or the section's header.
        #[label("here")]
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

/// What a fault is about: a section, or a key in it.
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
