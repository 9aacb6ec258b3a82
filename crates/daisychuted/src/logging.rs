//! Structured logs on standard error.

use std::io;

use daisychute_settings::{LogFormat, LogLevel, LogSettings};
use fern::{Dispatch, FormatCallback};
use humantime::format_rfc3339_micros;
use log::{LevelFilter, Record};
use serde::Serialize;

use crate::DaemonError;

/// Lines of other packages are logged from this severity.
const LIBRARY_LEVEL: LevelFilter = LevelFilter::Warn;
/// Target prefix of our own packages.
const OWN: &str = "daisychute";

#[derive(Serialize)]
struct JsonLine<'a> {
    time: String,
    level: &'a str,
    target: &'a str,
    message: String,
}

/// Installs the logger of the process.
pub(crate) fn install(settings: &LogSettings) -> Result<(), DaemonError> {
    let level = filter(settings.level);
    let format = settings.format;
    Dispatch::new()
        .level(LIBRARY_LEVEL.min(level))
        .filter(move |it| it.target().starts_with(OWN) || it.level() <= LIBRARY_LEVEL)
        .level_for(OWN, level)
        .format(move |out, message, record| line(format, out, &message.to_string(), record))
        .chain(io::stderr())
        .apply()?;
    log::set_max_level(level);
    Ok(())
}

const fn filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}

fn line(format: LogFormat, out: FormatCallback<'_>, message: &str, record: &Record<'_>) {
    let time = format_rfc3339_micros(std::time::SystemTime::now()).to_string();
    let (level, target) = (record.level().as_str(), record.target());
    match format {
        LogFormat::KeyValue => {
            out.finish(format_args!(
                "time={time} level={level} target={target} message={message:?}"
            ));
        }
        LogFormat::Json => {
            let json = JsonLine { time, level, target, message: message.to_owned() };
            out.finish(format_args!("{}", serde_json::to_string(&json).unwrap_or_default()));
        }
    }
}
