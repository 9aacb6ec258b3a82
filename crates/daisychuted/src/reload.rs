//! Takes over changes of a front's settings file while it serves.

use std::path::PathBuf;
use std::time::Duration;

use daisychute_front::LiveSettings;
use daisychute_settings::{FrontChange, FrontSettings, LogSettings, SettingsError};
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::front::{capacity_limits, dispatch_settings};
use crate::logging::level_filter;

/// Interval between checks of the settings file for changes.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Separates keys and problems in a log line.
const SEPARATOR: &str = ", ";

/// Reads a front's settings file again and passes on what can change without a restart.
#[derive(Debug)]
pub(crate) struct Reloader {
    path: PathBuf,
    /// Settings in force. Keys that need a restart have the values of the start.
    in_force: FrontSettings,
    /// Last settings that were read without a fault.
    last_read: FrontSettings,
    /// Last text of the file; `None` if it wasn't read yet or couldn't be read.
    text: Option<String>,
    tx: watch::Sender<LiveSettings>,
}

impl Reloader {
    pub(crate) fn new(
        path: PathBuf,
        settings: FrontSettings,
        tx: watch::Sender<LiveSettings>,
    ) -> Self {
        Self { path, in_force: settings.clone(), last_read: settings, text: None, tx }
    }

    /// Reads the file on each SIGHUP, and when a periodic check finds that it has changed without one, for the life of
    /// the process.
    pub(crate) async fn run(mut self, mut hangups: Signal) {
        loop {
            let hangup = timeout(SETTINGS_POLL_INTERVAL, hangups.recv()).await.is_ok();
            let text = std::fs::read_to_string(&self.path).ok();
            if !hangup && text == self.text {
                continue;
            }
            self.text = text;
            match self.read() {
                Ok(settings) if settings == self.last_read => {
                    if hangup {
                        log::info!("settings read again; no change");
                    }
                }
                Ok(settings) => self.apply(settings),
                Err(error) => {
                    let problems = problems(&error);
                    log::error!(error:%, problems; "settings are invalid; the old ones stay in force");
                }
            }
        }
    }

    fn read(&self) -> Result<FrontSettings, SettingsError> {
        match &self.text {
            Some(text) => FrontSettings::parse(&self.path.to_string_lossy(), text),
            None => FrontSettings::load(&self.path),
        }
    }

    fn apply(&mut self, settings: FrontSettings) {
        let FrontChange { applied, at_next_start } =
            FrontChange::between(&self.in_force, &settings);
        let (old_level, new_level) =
            (level_filter(self.in_force.log.level), level_filter(settings.log.level));
        // The line is written under both levels.
        log::set_max_level(old_level.max(new_level));
        let (applied, at_next_start) = (applied.join(SEPARATOR), at_next_start.join(SEPARATOR));
        if at_next_start.is_empty() {
            log::info!(applied, at_next_start, settings:?; "settings changed");
        } else {
            log::warn!(applied, at_next_start, settings:?; "settings changed");
        }
        log::set_max_level(new_level);
        self.last_read = settings.clone();
        self.in_force = FrontSettings {
            seeds: settings.seeds,
            machine: settings.machine,
            retries: settings.retries,
            max_heartbeat_delay: settings.max_heartbeat_delay,
            max_silence: settings.max_silence,
            stop_within: settings.stop_within,
            log: LogSettings { level: settings.log.level, ..self.in_force.log },
            ..self.in_force.clone()
        };
        self.tx.send_replace(live_settings(&self.in_force));
    }
}

fn live_settings(settings: &FrontSettings) -> LiveSettings {
    LiveSettings {
        capacity: capacity_limits(settings),
        dispatch: dispatch_settings(settings),
        seeds: settings.seeds.clone(),
        max_silence: settings.max_silence,
        shutdown_timeout: settings.stop_within,
    }
}

/// Describes each problem of a settings file, or why it can't be read.
fn problems(error: &SettingsError) -> String {
    match error {
        SettingsError::Invalid { problems, .. } => {
            let problems: Vec<_> = problems.iter().map(ToString::to_string).collect();
            problems.join(SEPARATOR)
        }
        SettingsError::Unreadable { source, .. } => source.to_string(),
        SettingsError::TooLarge { .. } => error.to_string(),
    }
}
