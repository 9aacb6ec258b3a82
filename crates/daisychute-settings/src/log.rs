//! Section `[log]`: log level and format.

use crate::field::raw_section;
use crate::problem::Problems;
use crate::rule::OneOf;

raw_section! {
    /// Unchecked section `[log]`.
    RawLog {
        level = "level",
        format = "format",
    }
}

/// Minimum severity of the log lines that are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogLevel {
    /// Errors that need an operator.
    Error,
    /// Also errors that the system recovers from by itself.
    Warn,
    /// Also state changes.
    #[default]
    Info,
    /// Also every request.
    Debug,
    /// Also every frame between entries and agents.
    Trace,
}

/// Format of a log line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// `key=value` pairs.
    #[default]
    KeyValue,
    /// One JSON object per line.
    Json,
}

/// Log level and format.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LogSettings {
    /// Minimum severity of the log lines that are written.
    pub level: LogLevel,
    /// Format of each line.
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
        problems.set(&mut checked.level, raw.level.optional(&OneOf(LogLevel::WORDS)));
        problems.set(&mut checked.format, raw.format.optional(&OneOf(LogFormat::WORDS)));
        problems.into_result(checked)
    }
}
