//! Structured logging: to standard error for entries and agents, to standard output for fronts.

mod log_writer;

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::sync::Arc;
use std::time::SystemTime;

use daisychute_core::{Incarnation, ProcessName};
use daisychute_settings::{LogFormat, LogLevel, LogSettings};
use fern::Dispatch;
use humantime::format_rfc3339_micros;
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde::Serialize;

use crate::DaemonError;
pub(crate) use crate::logging::log_writer::LogWriter;

/// Maximum level of log records from other crates; less severe ones are filtered out.
const LIBRARY_LEVEL: LevelFilter = LevelFilter::Warn;
/// Target prefix of daisychute's own crates.
const OWN_TARGET_PREFIX: &str = "daisychute";

/// Process name and incarnation, which are part of every log line.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    pub(crate) process: ProcessName,
    pub(crate) incarnation: Incarnation,
}

#[derive(Serialize)]
struct JsonLine<'a> {
    time: String,
    level: &'a str,
    target: &'a str,
    process: &'a ProcessName,
    incarnation: String,
    message: String,
    #[serde(flatten)]
    fields: Fields,
}

/// The key-value pairs of a log record, sorted by key.
#[derive(Debug, Default, Serialize)]
#[serde(transparent)]
struct Fields(BTreeMap<String, String>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.insert(key.as_str().to_owned(), value.to_string());
        Ok(())
    }
}

/// Installs the logger of an entry or agent, which writes to standard error.
pub(crate) fn install(settings: &LogSettings, identity: Identity) -> Result<(), DaemonError> {
    let level = level_filter(settings.level);
    let format = settings.format;
    let identity = Arc::new(identity);
    Dispatch::new()
        .level(level)
        .filter(move |it| it.target().starts_with(OWN_TARGET_PREFIX) || it.level() <= LIBRARY_LEVEL)
        .format(move |out, message, record| {
            let line = match format {
                LogFormat::KeyValue => key_value_line(&identity, &message.to_string(), record),
                LogFormat::Json => json_line(&identity, &message.to_string(), record),
            };
            out.finish(format_args!("{line}"));
        })
        .chain(io::stderr())
        .apply()?;
    Ok(())
}

/// Installs the logger of a front, which writes to standard output through the returned writer.
pub(crate) fn install_front(
    settings: &LogSettings,
    identity: Identity,
) -> Result<LogWriter, DaemonError> {
    let format = settings.format;
    let identity = Arc::new(identity);
    let writer = LogWriter::start();
    let (gate, sink) = (writer.clone(), writer.clone());
    // The level is that of the macros alone, so that it can change.
    Dispatch::new()
        .level(LevelFilter::Trace)
        .filter(move |it| it.target().starts_with(OWN_TARGET_PREFIX) || it.level() <= LIBRARY_LEVEL)
        .chain(fern::Output::call(move |record| {
            if !gate.admits(record) {
                return;
            }
            let message = record.args().to_string();
            sink.push(&match format {
                LogFormat::KeyValue => key_value_line(&identity, &message, record),
                LogFormat::Json => json_line(&identity, &message, record),
            });
        }))
        .apply()?;
    log::set_max_level(level_filter(settings.level));
    Ok(writer)
}

pub(crate) const fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}

fn fields(record: &Record<'_>) -> Fields {
    let mut fields = Fields::default();
    // Collecting into a map can't fail.
    let _ = record.key_values().visit(&mut fields);
    fields
}

fn now() -> String {
    format_rfc3339_micros(SystemTime::now()).to_string()
}

fn key_value_line(identity: &Identity, message: &str, record: &Record<'_>) -> String {
    let Identity { process, incarnation } = identity;
    let (level, target) = (record.level(), record.target());
    let mut line = format!(
        "time={} level={level} target={target} process={process} incarnation={incarnation} message={message:?}",
        now(),
    );
    for (key, value) in fields(record).0 {
        // Writing to a string can't fail.
        let _ = write!(line, " {key}={value:?}");
    }
    line
}

fn json_line(identity: &Identity, message: &str, record: &Record<'_>) -> String {
    let line = JsonLine {
        time: now(),
        level: record.level().as_str(),
        target: record.target(),
        process: &identity.process,
        incarnation: identity.incarnation.to_string(),
        message: message.to_owned(),
        fields: fields(record),
    };
    // Every field is a string.
    serde_json::to_string(&line).unwrap_or_default()
}
