//! Starts and stops a front.

use std::io;
use std::mem;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::{RequestHead, StatusCode};
use daisychute_dispatch::{DispatchSettings, Event};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::client::server;
use crate::directory::version_recorder::VersionRecorder;
use crate::directory::watcher::Watcher;
use crate::duties::link::DutyLink;
use crate::duties::task::DutyTask;
use crate::live_settings;
use crate::peers::{heartbeats, snapshots};
use crate::plain_server;
use crate::preview;
use crate::readiness;
use crate::state::FrontState;
use crate::{
    CapacityLimits, Collection, ControlApi, Dialect, Directory, Duties, DutyStore, LiveSettings,
};

/// Why a front can't start or keep running.
#[derive(Debug, thiserror::Error)]
pub enum FrontError {
    /// Binding a listening address failed.
    #[error("can't bind listening address {address}")]
    Listen {
        /// The address that could not be bound.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Installing the signal handlers failed.
    #[error("can't install signal handlers")]
    Signals(#[source] io::Error),
}

/// A front process that can be started, with its settings.
#[derive(Debug, Clone)]
pub struct Front {
    /// Listening address for clients.
    pub client_address: SocketAddr,
    /// Listening address for the platform's readiness checks.
    pub readiness_address: SocketAddr,
    /// UDP address that receives the heartbeats of other fronts.
    pub peer_address: SocketAddr,
    /// Listening address for metrics scrapes.
    pub metrics_address: SocketAddr,
    /// Listening address from which other fronts fetch snapshots.
    pub snapshot_address: SocketAddr,
    /// Snapshot addresses of the fronts that are asked when the directory is unreachable.
    pub seeds: Vec<SocketAddr>,
    /// The name of this front, unique among the fronts.
    pub name: String,
    /// How many requests and client connections the machine can handle.
    pub capacity: CapacityLimits,
    /// The deployment's settings for the dispatcher.
    pub dispatch: DispatchSettings,
    /// Time within which connections to the directory that went silent must have been replaced, so that no change is
    /// missed for longer.
    pub max_silence: Duration,
    /// Time limit for a graceful shutdown.
    pub shutdown_timeout: Duration,
    /// Start time of the process in microseconds since the Unix epoch; not unique among fronts.
    pub incarnation: u64,
}

/// The path of the metrics endpoint.
const METRICS_PATH: &str = "/metrics";
/// Interval at which expired connections are closed, the dispatcher is ticked and the gauges are set.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two sweeps from which the process counts as having stood still: the interval, and a stop in which
/// heartbeats of other fronts were missed.
const MIN_STANDSTILL: Duration = Duration::from_millis(500);
/// Maximum time after the start in which client connections wait for configuration and endpoints. They arrive from the
/// directory in some milliseconds, while a refused client returns after some hundred.
const MAX_STARTUP_WAIT: Duration = Duration::from_millis(400);
/// Interval at which a starting front checks whether configuration and endpoints have arrived.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum time until the platform stops sending new client connections to a front that isn't ready.
const READINESS_PROPAGATION: Duration = Duration::from_millis(3_200);
/// Time without a new connection after which no more are expected.
const QUIET_PERIOD: Duration = Duration::from_millis(1_200);
/// Share of the shutdown timeout in which new connections are accepted; the rest is for completing their requests.
const ACCEPT_SHARE: f64 = 0.55;
/// Time from the last accepted connection until idle connections are closed: its client sends a request at once.
const LAST_REQUEST_TIME: Duration = Duration::from_millis(200);
/// Time reserved at the end of a shutdown for closing connections and writing the last log lines.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(500);
/// Time for the responses of the requests that the shutdown ends, the release of their KV caches, and the last log lines.
const LAST_RESPONSES_TIME: Duration = Duration::from_millis(100);

impl Front {
    /// Serves until the process is asked to stop, then shuts down gracefully. `changes` replaces settings meanwhile.
    /// Without `duties`, the front has none.
    ///
    /// # Errors
    ///
    /// A listening address can't be bound, or the signal handlers can't be installed.
    pub async fn run(
        mut self,
        dialect: impl Dialect,
        directory: impl Directory + DutyStore,
        duties: Option<Duties<impl ControlApi>>,
        metrics: impl Fn() -> String + Clone + 'static,
        changes: watch::Receiver<LiveSettings>,
    ) -> Result<(), FrontError> {
        let client_listener = listen(self.client_address).await?;
        let readiness_listener = listen(self.readiness_address).await?;
        let snapshot_listener = listen(self.snapshot_address).await?;
        let metrics_listener = listen(self.metrics_address).await?;
        let peer_socket = UdpSocket::bind(self.peer_address).await;
        let peer_socket = peer_socket
            .map_err(|source| FrontError::Listen { address: self.peer_address, source })?;
        let own_address = peer_socket.local_addr().unwrap_or(self.peer_address);
        let own_snapshot_address = snapshot_listener.local_addr().unwrap_or(self.snapshot_address);
        log::info!(
            callers:% = address(&client_listener), ready:% = address(&readiness_listener), inner:% = own_address,
            snapshots:% = own_snapshot_address, metrics:% = address(&metrics_listener);
            "listening"
        );
        let peer_socket = Rc::new(peer_socket);
        let incarnation_id = self.incarnation_id();
        let (duties, duty_input) = duties
            .map(|it| {
                let socket = Rc::clone(&peer_socket);
                let (link, rx) = DutyLink::new(it.settings, incarnation_id, own_address, socket);
                (link, (it.api, rx))
            })
            .unzip();
        let settings = LiveSettings::from(&self);
        let state = FrontState::new(
            dialect,
            settings,
            incarnation_id,
            own_address,
            own_snapshot_address.port(),
            duties,
        );
        if let (Some(link), Some((api, rx))) = (&state.duties, duty_input) {
            let calls = (directory.clone(), api);
            let (state, link) = (Rc::clone(&state), Rc::clone(link));
            let task = DutyTask::new(state, link, calls, self.incarnation);
            actix_rt::spawn(task.run(rx));
        }
        actix_rt::spawn(live_settings::follow(Rc::clone(&state), changes));
        for collection in [Collection::Configuration, Collection::Endpoints, Collection::Fronts] {
            let watcher = Watcher::new(Rc::clone(&state), directory.clone(), collection);
            actix_rt::spawn(watcher.run());
        }
        let recorder = VersionRecorder::new(Rc::clone(&state), directory.clone());
        actix_rt::spawn(recorder.run());
        actix_rt::spawn(accept_when_ready(Rc::clone(&state), client_listener));
        actix_rt::spawn(readiness::serve(Rc::clone(&state), readiness_listener));
        let render = {
            let state = Rc::clone(&state);
            move |head: &RequestHead| match head.uri.path() {
                METRICS_PATH => (StatusCode::OK, metrics()),
                _ => {
                    preview::respond(&state, head).unwrap_or((StatusCode::NOT_FOUND, String::new()))
                }
            }
        };
        actix_rt::spawn(plain_server::serve(state.http.clone(), metrics_listener, render));
        actix_rt::spawn(sweep(Rc::clone(&state)));
        actix_rt::spawn(snapshots::serve(Rc::clone(&state), snapshot_listener));
        let fetch_snapshots = snapshots::fetch_when_needed(Rc::clone(&state), own_snapshot_address);
        actix_rt::spawn(fetch_snapshots);
        actix_rt::spawn(heartbeats::send_heartbeats(Rc::clone(&state), Rc::clone(&peer_socket)));
        actix_rt::spawn(heartbeats::receive_heartbeats(Rc::clone(&state), peer_socket));
        let announce =
            heartbeats::announce(Rc::clone(&state), directory, self.name.clone(), own_address);
        actix_rt::spawn(announce);
        daisychute_runtime::stop_requested().await.map_err(FrontError::Signals)?;
        self.shutdown_timeout = state.shutdown_timeout();
        self.shut_down(&state).await;
        Ok(())
    }

    /// Returns a hash of name and incarnation that identifies this start of this front.
    #[must_use]
    pub fn incarnation_id(&self) -> u64 {
        xxh3_64_with_seed(self.name.as_bytes(), self.incarnation)
    }

    /// Waits until the platform sends no more client connections and all requests are completed, or the shutdown
    /// timeout is nearly over.
    async fn shut_down<D: Dialect>(&self, state: &Rc<FrontState<D>>) {
        let started = Instant::now();
        let busy = state.shutdown.busy();
        log::info!(busy; "stop requested");
        let limit = self.shutdown_timeout.saturating_sub(SHUTDOWN_RESERVE);
        let deadline = state.now() + limit;
        state.shutdown.request(deadline);
        state.peers.request_heartbeat();
        if let Some(duties) = &state.duties {
            duties.stop();
        }
        state.handle(Event::ShutdownRequested { deadline });
        let accept_time = self.shutdown_timeout.mul_f64(ACCEPT_SHARE);
        let (mut accepted, mut last_change) = (state.shutdown.accepted(), started);
        while started.elapsed() < accept_time {
            sleep(SWEEP_INTERVAL).await;
            if state.shutdown.accepted() != accepted {
                (accepted, last_change) = (state.shutdown.accepted(), Instant::now());
            }
            let quiet =
                last_change.elapsed() >= QUIET_PERIOD && started.elapsed() >= READINESS_PROPAGATION;
            if quiet && state.shutdown.busy() == 0 {
                break;
            }
        }
        // If no other front is ready, the platform keeps sending client connections to this one. From here on new
        // connections are refused, so that these clients try another front.
        // The requests of those that were accepted last may be on their way.
        state.shutdown.stop_accepting();
        sleep(LAST_REQUEST_TIME).await;
        state.shutdown.close_idle();
        while state.shutdown.busy() > 0 && started.elapsed() < limit {
            sleep(SWEEP_INTERVAL / 5).await;
        }
        if let Some(duties) = &state.duties {
            // The lease was released long before, unless the store doesn't respond.
            let left = limit.saturating_sub(started.elapsed());
            let _ = timeout(left, duties.wait_released()).await;
            duties.send_shares();
        }
        let left = state.shutdown.busy();
        state.shutdown.exit();
        sleep(LAST_RESPONSES_TIME).await;
        let took_ms = started.elapsed().as_millis();
        log::info!(left, took_ms; "stopped");
    }
}

/// Accepts clients as soon as requests can be served, at the latest after [`MAX_STARTUP_WAIT`].
async fn accept_when_ready<D: Dialect>(state: Rc<FrontState<D>>, listener: TcpListener) {
    let started = Instant::now();
    while !state.is_ready() && started.elapsed() < MAX_STARTUP_WAIT {
        sleep(STARTUP_POLL_INTERVAL).await;
    }
    server::accept(state, listener).await;
}

async fn listen(address: SocketAddr) -> Result<TcpListener, FrontError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| FrontError::Listen { address, source })
}

/// Formats the local address of a listener for the log.
fn address(listener: &TcpListener) -> String {
    listener.local_addr().map_or_else(|e| e.to_string(), |it| it.to_string())
}

async fn sweep<D: Dialect>(state: Rc<FrontState<D>>) {
    let mut ticks = interval(SWEEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_tick = state.now();
    loop {
        ticks.tick().await;
        let since_tick = state.now().since(mem::replace(&mut last_tick, state.now()));
        if since_tick >= MIN_STANDSTILL {
            let ms = since_tick.as_millis();
            log::warn!(ms; "the process stood still");
            metrics::counter!("daisychute_standstills_total").increment(1);
        }
        state.pool.sweep();
        state.handle(Event::Tick);
        record_gauges(&state);
    }
}

/// Sets the metric gauges of this front.
fn record_gauges<D: Dialect>(state: &FrontState<D>) {
    let now = state.now();
    let (requests, endpoints, retries) =
        state.with_dispatcher(|it| (it.open_requests(), it.fleet().len(), it.retries_used()));
    let limited = state.with_dispatcher(|it| it.fleet().limited_count());
    let (quarantined_parts, quarantined_requests) =
        state.with_dispatcher(|it| (it.quarantined_parts(now), it.quarantined_requests(now)));
    let (idle, busy) = state.pool.counts();
    metrics::gauge!("daisychute_open_requests").set(requests as f64);
    metrics::gauge!("daisychute_endpoints").set(endpoints as f64);
    metrics::gauge!("daisychute_fronts").set(state.peers.count(now) as f64);
    metrics::gauge!("daisychute_limited_endpoints").set(limited as f64);
    metrics::gauge!("daisychute_quarantined_parts").set(quarantined_parts as f64);
    metrics::gauge!("daisychute_quarantined_requests").set(quarantined_requests as f64);
    metrics::gauge!("daisychute_retries_in_window").set(f64::from(retries));
    metrics::gauge!("daisychute_endpoint_connections", "state" => "idle").set(idle as f64);
    metrics::gauge!("daisychute_endpoint_connections", "state" => "busy").set(busy as f64);
    metrics::gauge!("daisychute_directory_age_seconds").set(state.directory_age().as_secs_f64());
}
