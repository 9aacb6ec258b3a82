//! The front role of the daemon, with the dialect and the store of the users' platform.

use std::path::PathBuf;
use std::time::Duration;

use daisychute_adapter::{ControlClient, PlatformDialect, Store};
use daisychute_core::Incarnation;
use daisychute_dispatch::DispatchSettings;
use daisychute_front::{CapacityLimits, Duties, DutySettings, Front, LiveSettings};
use daisychute_settings::{FrontDuty, FrontSettings};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::logging::LogWriter;
use crate::reload::Reloader;
use crate::{DaemonError, metrics};

/// Interval between runs of the metrics upkeep and reports of dropped log lines.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(2);

/// Serves clients until the process is asked to stop. `path` is the settings file, which is watched for changes.
pub(crate) async fn run(
    path: PathBuf,
    settings: FrontSettings,
    incarnation: Incarnation,
    log_writer: LogWriter,
) -> Result<(), DaemonError> {
    let hangups = signal(SignalKind::hangup()).map_err(DaemonError::Signals)?;
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
        capacity: capacity_limits(&settings),
        dispatch: dispatch_settings(&settings),
        max_silence: settings.max_silence,
        shutdown_timeout: settings.stop_within,
        incarnation: incarnation.get(),
    };
    let (tx, changes) = watch::channel(LiveSettings::from(&front));
    let duties = duties(&settings);
    let (store, render) = (Store::new(settings.store), move || metrics.render());
    actix_rt::spawn(Reloader::new(path, settings, tx).run(hangups));
    front.run(PlatformDialect, store, duties, render, changes).await?;
    Ok(())
}

/// Returns the duties of the front; `None` if the deployment has none that it can perform.
fn duties(settings: &FrontSettings) -> Option<Duties<ControlClient>> {
    let duties = &settings.duties;
    let address = duties.address.filter(|_| duties.duties.contains(&FrontDuty::UsageReport))?;
    let settings = DutySettings {
        holder: settings.name.clone(),
        lease: duties.lease,
        usage_window: duties.usage_window,
        usage_due: duties.usage_due,
    };
    Some(Duties { settings, api: ControlClient::new(address) })
}

pub(crate) const fn capacity_limits(settings: &FrontSettings) -> CapacityLimits {
    CapacityLimits::for_machine(settings.machine.memory_mib, settings.machine.descriptors)
}

pub(crate) fn dispatch_settings(settings: &FrontSettings) -> DispatchSettings {
    DispatchSettings {
        data_centre: Some(settings.data_centre.clone()),
        retry_ratio: settings.retries.ratio,
        retry_window: settings.retries.window,
        retry_slack: settings.retries.slack,
        max_heartbeat_delay: settings.max_heartbeat_delay,
        drain_time: settings.drain_time,
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
