//! The daemon as a front on the users' platform.

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

use crate::logging::Outlet;
use crate::{DaemonError, metrics};

/// The settings file is looked at this often.
const LOOK: Duration = Duration::from_secs(5);
/// Metrics are condensed, and lines that were left out of the log are told, this often.
const UPKEEP: Duration = Duration::from_secs(2);

/// Serves callers until the process is asked to stop.
pub(crate) async fn run(
    path: PathBuf,
    settings: FrontSettings,
    incarnation: Incarnation,
    outlet: Outlet,
) -> Result<(), DaemonError> {
    actix_rt::spawn(reload(
        path,
        settings.clone(),
        signal(SignalKind::hangup()).map_err(DaemonError::Signals)?,
    ));
    let metrics = metrics::install()?;
    actix_rt::spawn(upkeep(metrics.clone(), outlet));
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
        dispatch: dispatch(&settings),
        shutdown_timeout: settings.stop_within,
        incarnation: incarnation.get(),
    };
    let render = move || metrics.render();
    front.run(PlatformDialect, Store::new(settings.store), render).await?;
    Ok(())
}

fn dispatch(settings: &FrontSettings) -> DispatchSettings {
    DispatchSettings {
        data_centre: Some(settings.data_centre.clone()),
        retry_ratio: settings.retries.ratio,
        retry_window: settings.retries.window,
        retry_slack: settings.retries.slack,
    }
}

/// Keeps metrics and log in order, for the life of the process.
async fn upkeep(metrics: PrometheusHandle, outlet: Outlet) {
    loop {
        sleep(UPKEEP).await;
        metrics.run_upkeep();
        for (line, count) in outlet.take_dropped() {
            log::warn!(line, count; "log lines left out");
            ::metrics::counter!("daisychute_log_lines_dropped_total").increment(count);
        }
    }
}

/// Checks the settings again at each SIGHUP, and now and then, since the file may change without one. What they hold of
/// addresses and bounds is fixed for the life of a process, so a change is told and takes effect with the next start.
async fn reload(path: PathBuf, mut current: FrontSettings, mut hangups: Signal) {
    let mut text = read(&path);
    loop {
        let asked = timeout(LOOK, hangups.recv()).await.is_ok();
        let now = read(&path);
        if !asked && now == text {
            continue;
        }
        text = now;
        match FrontSettings::load(&path) {
            Ok(settings) if settings == current => log::info!("settings read again; no change"),
            Ok(settings) => {
                log::info!(settings:?; "settings changed; in force from the next start");
                current = settings;
            }
            Err(error) => log::error!(error:%; "settings are faulty; the old ones stay in force"),
        }
    }
}

/// The text of the settings; none where it can't be read, which counts as a change.
fn read(path: &Path) -> Option<String> {
    std::fs::read_to_string(path).ok()
}
