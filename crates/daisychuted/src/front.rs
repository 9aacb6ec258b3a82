//! The front role of the daemon, with the dialect and the store of the users' platform.

use std::path::{Path, PathBuf};
use std::time::Duration;

use daisychute_adapter::{PlatformDialect, Store};
use daisychute_core::Incarnation;
use daisychute_dispatch::DispatchSettings;
use daisychute_front::{CapacityLimits, Front};
use daisychute_settings::FrontSettings;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{sleep, timeout};

use crate::logging::LogWriter;
use crate::{DaemonError, metrics};

/// Interval between checks of the settings file for changes.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between runs of the metrics upkeep and reports of dropped log lines.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(2);

/// Serves clients until the process is asked to stop. `path` is the settings file, which is watched for changes.
pub(crate) async fn run(
    path: PathBuf,
    settings: FrontSettings,
    incarnation: Incarnation,
    log_writer: LogWriter,
) -> Result<(), DaemonError> {
    actix_rt::spawn(reload(
        path,
        settings.clone(),
        signal(SignalKind::hangup()).map_err(DaemonError::Signals)?,
    ));
    let metrics = metrics::install()?;
    actix_rt::spawn(upkeep(metrics.clone(), log_writer));
    log::info!(name:% = settings.name, data_centre:% = settings.data_centre, callers:% = settings.callers; "front started");
    let front = Front {
        client_address: settings.callers,
        readiness_address: settings.ready,
        peer_address: settings.inner,
        snapshot_address: settings.snapshots,
        seeds: settings.seeds.clone(),
        name: settings.name.to_string(),
        metrics_address: settings.metrics,
        capacity: CapacityLimits::for_machine(
            settings.machine.memory_mib,
            settings.machine.descriptors,
        ),
        dispatch: dispatch_settings(&settings),
        shutdown_timeout: settings.stop_within,
        incarnation: incarnation.get(),
    };
    let render = move || metrics.render();
    front.run(PlatformDialect, Store::new(settings.store), render).await?;
    Ok(())
}

fn dispatch_settings(settings: &FrontSettings) -> DispatchSettings {
    DispatchSettings {
        data_centre: Some(settings.data_centre.clone()),
        retry_ratio: settings.retries.ratio,
        retry_window: settings.retries.window,
        retry_slack: settings.retries.slack,
    }
}

/// Runs the periodic upkeep of the metrics and reports dropped log lines, for the life of the process.
async fn upkeep(metrics: PrometheusHandle, log_writer: LogWriter) {
    loop {
        sleep(UPKEEP_INTERVAL).await;
        metrics.run_upkeep();
        for (line, count) in log_writer.take_dropped() {
            log::warn!(line, count; "log lines left out");
            ::metrics::counter!("daisychute_log_lines_dropped_total").increment(count);
        }
    }
}

/// Reloads the settings file on SIGHUP, and when a periodic check finds that it has changed without one. Addresses and
/// limits are fixed for the life of the process, so a change is only logged and takes effect with the next start.
async fn reload(path: PathBuf, mut current: FrontSettings, mut hangups: Signal) {
    let mut text = read_text(&path);
    loop {
        let hangup = timeout(SETTINGS_POLL_INTERVAL, hangups.recv()).await.is_ok();
        let new_text = read_text(&path);
        if !hangup && new_text == text {
            continue;
        }
        text = new_text;
        match FrontSettings::load(&path) {
            Ok(settings) if settings == current => log::info!("settings read again; no change"),
            Ok(settings) => {
                log::info!(settings:?; "settings changed; the change takes effect at the next start");
                current = settings;
            }
            Err(error) => log::error!(error:%; "settings are invalid; the old ones stay in force"),
        }
    }
}

/// The text of the settings file; `None` if it can't be read, which counts as a change.
fn read_text(path: &Path) -> Option<String> {
    std::fs::read_to_string(path).ok()
}
