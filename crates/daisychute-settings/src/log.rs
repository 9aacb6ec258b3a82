//! Section `[log]`: what is logged and how.

use crate::field::raw_section;
use crate::problem::Problems;
use crate::rule::Choice;

raw_section! {
    /// Section `[log]` as it stands in the file.
    RawLog {
        level = "level",
        format = "format",
    }
}

/// The least severity that is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogLevel {
    /// Faults that need an operator.
    Error,
    /// Also faults that the system deals with by itself.
    Warn,
    /// Also changes of state.
    #[default]
    Info,
    /// Also each request.
    Debug,
    /// Also each frame.
    Trace,
}

/// How a log line is written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// `key=value` pairs.
    #[default]
    KeyValue,
    /// One JSON object a line.
    Json,
}

/// What is logged and how.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LogSettings {
    /// The least severity.
    pub level: LogLevel,
    /// The format of a line.
    pub format: LogFormat,
}

impl LogLevel {
    const WORDS: &'static [(&'static str, Self)] = &[
        ("error", Self::Error),
        ("warn", Self::Warn),
        ("info", Self::Info),
        ("debug", Self::Debug),
        ("trace", Self::Trace),
    ];
}

impl LogFormat {
    const WORDS: &'static [(&'static str, Self)] =
        &[("key-value", Self::KeyValue), ("json", Self::Json)];
}

impl TryFrom<&RawLog> for LogSettings {
    type Error = Problems;

    fn try_from(raw: &RawLog) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let mut checked = Self::default();
        problems.set(&mut checked.level, raw.level.optional(&Choice(LogLevel::WORDS)));
        problems.set(&mut checked.format, raw.format.optional(&Choice(LogFormat::WORDS)));
        problems.none_or(checked)
    }
}
