//! A front as a whole.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use daisychute_dispatch::{DispatchSettings, Event};
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval, sleep};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::client::server;
use crate::directory::watcher::Watcher;
use crate::peers::{heartbeats, snapshots};
use crate::plain_server;
use crate::readiness;
use crate::shared::Shared;
use crate::{CapacityLimits, Collection, Dialect, Directory};

/// Why a front can't run.
#[derive(Debug, thiserror::Error)]
pub enum FrontError {
    /// An address can't be listened on.
    #[error("can't listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The handlers of signals can't be installed.
    #[error("can't install signal handlers")]
    Signals(#[source] io::Error),
}

/// A front with its addresses.
#[derive(Debug, Clone)]
pub struct Front {
    /// Where callers connect.
    pub client_address: SocketAddr,
    /// Where the platform asks for readiness.
    pub readiness_address: SocketAddr,
    /// Where other fronts send what they have under way.
    pub peer_address: SocketAddr,
    /// Where metrics are fetched.
    pub metrics_address: SocketAddr,
    /// Where other fronts fetch what is known here.
    pub snapshot_address: SocketAddr,
    /// Fronts that may tell what is known when the directory can't be reached.
    pub seeds: Vec<SocketAddr>,
    /// Its name, unique among the fronts.
    pub name: String,
    /// What its machine carries.
    pub capacity: CapacityLimits,
    /// What the deployment fixes.
    pub dispatch: DispatchSettings,
    /// How long a graceful stop may take.
    pub shutdown_timeout: Duration,
    /// When the process started. Fronts that start together may have the same one.
    pub incarnation: u64,
}

/// The path of the metrics.
const METRICS: &str = "/metrics";
/// Old connections and records are swept this often.
const SWEEP: Duration = Duration::from_millis(250);
/// The platform notices within this time that a front isn't ready, and sends no new callers.
const NOTICE: Duration = Duration::from_millis(3_200);
/// No caller has connected for so long: none will.
const QUIET: Duration = Duration::from_millis(1_200);
/// The part of a stop's time in which callers are still taken; the rest is for what they sent.
const ACCEPT_PART: f64 = 0.55;
/// Kept before the end of a stop for closing connections and for the last lines of the log.
const RESERVE: Duration = Duration::from_millis(500);

impl Front {
    /// Serves until the process is asked to stop, and stops gracefully.
    ///
    /// # Errors
    ///
    /// An address can't be listened on.
    pub async fn run(
        self,
        dialect: impl Dialect,
        store: impl Directory,
        metrics: impl Fn() -> String + Clone + 'static,
    ) -> Result<(), FrontError> {
        let callers = listen(self.client_address).await?;
        let ready = listen(self.readiness_address).await?;
        let snapshots = listen(self.snapshot_address).await?;
        let metrics_listener = listen(self.metrics_address).await?;
        let inner = UdpSocket::bind(self.peer_address).await;
        let inner =
            inner.map_err(|source| FrontError::Listen { address: self.peer_address, source })?;
        let own = inner.local_addr().unwrap_or(self.peer_address);
        let own_snapshots = snapshots.local_addr().unwrap_or(self.snapshot_address);
        log::info!(
            callers:% = address(&callers), ready:% = address(&ready), inner:% = own,
            snapshots:% = own_snapshots, metrics:% = address(&metrics_listener);
            "listening"
        );
        let inner = Rc::new(inner);
        let shared = Shared::new(dialect, self.dispatch.clone(), self.incarnation_id(), own);
        for collection in [Collection::Configuration, Collection::Endpoints, Collection::Fronts] {
            let watcher = Watcher::new(Rc::clone(&shared), store.clone(), collection);
            actix_rt::spawn(watcher.run());
        }
        let accepting = actix_rt::spawn(server::accept(Rc::clone(&shared), callers, self.capacity));
        actix_rt::spawn(readiness::serve(Rc::clone(&shared), ready));
        let render = move |path: &str| match path {
            METRICS => (StatusCode::OK, metrics()),
            _ => (StatusCode::NOT_FOUND, String::new()),
        };
        actix_rt::spawn(plain_server::serve(shared.http.clone(), metrics_listener, render));
        actix_rt::spawn(sweep(Rc::clone(&shared)));
        actix_rt::spawn(snapshots::serve(Rc::clone(&shared), snapshots));
        let learn = snapshots::learn(Rc::clone(&shared), self.seeds.clone(), own_snapshots);
        actix_rt::spawn(learn);
        actix_rt::spawn(heartbeats::tell(Rc::clone(&shared), Rc::clone(&inner)));
        actix_rt::spawn(heartbeats::hear(Rc::clone(&shared), inner));
        let announce = heartbeats::announce(Rc::clone(&shared), store, self.name.clone(), own);
        actix_rt::spawn(announce);
        daisychute_runtime::stop_requested().await.map_err(FrontError::Signals)?;
        self.stop(&shared, accepting).await;
        Ok(())
    }

    /// Tells this incarnation of this front from all others.
    #[must_use]
    pub fn incarnation_id(&self) -> u64 {
        xxh3_64_with_seed(self.name.as_bytes(), self.incarnation)
    }

    /// Waits until the platform sends no more callers and all requests have their answers.
    async fn stop<D: Dialect>(&self, shared: &Rc<Shared<D>>, accepting: JoinHandle<()>) {
        let started = Instant::now();
        let busy = shared.stop.busy();
        log::info!(busy; "stop requested");
        shared.stop.request();
        let last_accept = self.shutdown_timeout.mul_f64(ACCEPT_PART);
        let (mut accepted, mut since) = (shared.stop.accepted(), started);
        while started.elapsed() < last_accept {
            sleep(SWEEP).await;
            if shared.stop.accepted() != accepted {
                (accepted, since) = (shared.stop.accepted(), Instant::now());
            }
            let quiet = since.elapsed() >= QUIET && started.elapsed() >= NOTICE;
            if quiet && shared.stop.busy() == 0 {
                break;
            }
        }
        // Where no other front is ready, the platform goes on sending callers: they are better off elsewhere now.
        accepting.abort();
        shared.stop.close_idle();
        let limit = self.shutdown_timeout.saturating_sub(RESERVE);
        while shared.stop.busy() > 0 && started.elapsed() < limit {
            sleep(SWEEP / 5).await;
        }
        let (left, took_ms) = (shared.stop.busy(), started.elapsed().as_millis());
        log::info!(left, took_ms; "stopped");
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, FrontError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| FrontError::Listen { address, source })
}

/// Where a listener listens, for the log.
fn address(listener: &TcpListener) -> String {
    listener.local_addr().map_or_else(|e| e.to_string(), |it| it.to_string())
}

async fn sweep<D: Dialect>(shared: Rc<Shared<D>>) {
    let mut ticks = interval(SWEEP);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shared.pool.sweep();
        shared.handle(Event::Tick);
        tell(&shared);
    }
}

/// Sets the gauges of the front.
fn tell<D: Dialect>(shared: &Shared<D>) {
    let now = shared.now();
    let (requests, endpoints, retries) =
        shared.view(|it| (it.open_requests(), it.fleet().len(), it.retries_used()));
    let (idle, busy) = shared.pool.counts();
    metrics::gauge!("daisychute_open_requests").set(requests as f64);
    metrics::gauge!("daisychute_endpoints").set(endpoints as f64);
    metrics::gauge!("daisychute_fronts").set(shared.peers.count(now) as f64);
    metrics::gauge!("daisychute_retries_in_window").set(f64::from(retries));
    metrics::gauge!("daisychute_endpoint_connections", "state" => "idle").set(idle as f64);
    metrics::gauge!("daisychute_endpoint_connections", "state" => "busy").set(busy as f64);
    metrics::gauge!("daisychute_directory_age_seconds").set(shared.directory_age().as_secs_f64());
}
