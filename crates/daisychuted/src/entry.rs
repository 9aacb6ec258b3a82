//! The entry role of the daemon.

use daisychute_core::Incarnation;
use daisychute_entry::PolicySelector;
use daisychute_entry::clients::ClientApi;
use daisychute_entry::core::{EntryConfig, EntryCore, Event};
use daisychute_entry::shell::{EntryHandle, EntryOptions, EntryShell};
use daisychute_link::LinkConfig;
use daisychute_planner::ControlOutput;
use daisychute_proto::Revisions;
use daisychute_runtime::{Clock, HttpLimits, HttpServer, stop_requested};
use daisychute_settings::{EntrySettings, LimitSettings, Settings};
use tokio::time::timeout;

use crate::admin::Admin;
use crate::control::ControlHandler;
use crate::shared_documents::SharedDocuments;
use crate::{DaemonError, control, discovery, metrics};

/// Delay between reporting "not ready" and refusing new requests, so that the load balancer notices first.
const READINESS_PROPAGATION: std::time::Duration = std::time::Duration::from_millis(500);

/// How long the last requests may take to end, after the end of the drain.
const LAST_RESPONSES_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);

pub(crate) async fn run(
    settings: Settings,
    role: EntrySettings,
    incarnation: Incarnation,
) -> Result<(), DaemonError> {
    let metrics = metrics::install()?;
    let limits = http_limits(&settings.limits);
    let client_listener = bind("callers", role.callers, limits)?;
    let admin = bind("admin", settings.listen.admin, limits)?;
    let selector = PolicySelector::new(settings.process.data_centre.clone(), incarnation.get());
    let core = EntryCore::new(entry_config(&settings), selector, incarnation);
    let client = control::client(&settings);
    let (control, outputs) = control::start(&settings, incarnation, client.clone());
    let documents = SharedDocuments::new(control.clone());
    let shell = EntryShell::new(entry_options(&settings), core, Clock::start(), documents);
    let handle = shell.handle();

    actix_rt::spawn(control::run(control.clone(), outputs, handle.clone()));
    actix_rt::spawn(discovery::run(client, handle.clone()));
    let admin_handler = Admin::new(handle.clone(), metrics, limits);
    actix_rt::spawn(admin.serve(move |req| admin_handler.clone().handle(req)));
    let client_api = ClientApi::new(handle.clone(), limits);
    actix_rt::spawn(client_listener.serve(move |req| client_api.clone().handle(req)));
    log::info!("entry {} serves clients on {}", settings.process.name, role.callers);

    let task = actix_rt::spawn(shell.run());
    stop_requested().await.map_err(DaemonError::Signals)?;
    log::info!("entry {} is shutting down", settings.process.name);
    let drain = settings.timing.drain;
    handle.prepare_shutdown(READINESS_PROPAGATION + drain);
    control.release();
    actix_rt::time::sleep(READINESS_PROPAGATION).await;
    handle.shut_down();
    if timeout(drain + LAST_RESPONSES_TIMEOUT, task).await.is_err() {
        log::warn!("requests are still open after {:?}", settings.timing.drain);
    }
    // Responses handed to the connection tasks still have to be written to the sockets.
    actix_rt::time::sleep(READINESS_PROPAGATION).await;
    log::info!("entry {} has stopped", settings.process.name);
    Ok(())
}

impl ControlHandler for EntryHandle {
    fn set_revisions(&self, revisions: Revisions) {
        self.event(Event::Revisions(revisions));
    }

    fn handle_output(&self, output: ControlOutput) {
        match output {
            ControlOutput::Frame { peer, frame } => self.send(peer, frame),
            ControlOutput::Configuration { revision, configuration } => {
                log::info!(revision:%; "configuration applied");
                self.configure(configuration);
            }
            _ => {}
        }
    }
}

pub(crate) fn bind(
    listener: &'static str,
    addr: std::net::SocketAddr,
    limits: HttpLimits,
) -> Result<HttpServer, DaemonError> {
    HttpServer::bind(addr, limits).map_err(|source| DaemonError::Listen { listener, addr, source })
}

pub(crate) fn http_limits(limits: &LimitSettings) -> HttpLimits {
    HttpLimits {
        connections: usize::try_from(limits.connections).unwrap_or(usize::MAX),
        body_bytes: to_usize(limits.body_bytes.get()),
        header_bytes: to_usize(limits.header_bytes.get()),
        head_timeout: limits.request_timeout,
        body_timeout: limits.request_timeout,
        keep_alive: limits.keep_alive,
    }
}

fn entry_config(settings: &Settings) -> EntryConfig {
    EntryConfig {
        heartbeat: settings.timing.heartbeat,
        window: u32::try_from(settings.limits.stream_buffer_bytes.get()).unwrap_or(u32::MAX),
        ..EntryConfig::default()
    }
}

fn entry_options(settings: &Settings) -> EntryOptions {
    EntryOptions {
        process: settings.process.name.clone(),
        instance: settings.process.instance.clone(),
        data_centre: settings.process.data_centre.clone(),
        region: settings.process.region.clone(),
        link: LinkConfig::default().heartbeat_timeout(settings.timing.silence),
    }
}

fn to_usize(bytes: u64) -> usize {
    usize::try_from(bytes).unwrap_or(usize::MAX)
}
