//! The state that all tasks of a front share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::ServiceConfig;
use daisychute_core::{EndpointName, Time};
use daisychute_dispatch::{Action, Dispatcher, Endpoint, Event, Removal, RequestKey, RouteTable};
use daisychute_runtime::Clock;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::directory::revisions::Revisions;
use crate::endpoint::cache_query::CacheQueries;
use crate::endpoint::pool::Pool;
use crate::endpoint::{cache_query, release};
use crate::peers::Peers;
use crate::shutdown::ShutdownState;
use crate::{CapacityLimits, Dialect, LiveSettings};

/// The state of a front. It is used on one thread only.
pub(crate) struct FrontState<D> {
    pub(crate) dialect: D,
    pub(crate) pool: Pool,
    pub(crate) peers: Peers,
    /// Limits the cache queries to engines.
    pub(crate) cache_queries: CacheQueries,
    pub(crate) revisions: Revisions,
    /// When a call for configurations last succeeded; zero before the first success.
    pub(crate) directory_last_seen: Cell<Time>,
    /// Whether the last call for configurations failed; `true` before the first success.
    pub(crate) directory_unreachable: Cell<bool>,
    pub(crate) shutdown: ShutdownState,
    pub(crate) http: ServiceConfig,
    /// Identifies this start of this front; also seeds its random choices.
    pub(crate) incarnation_id: u64,
    clock: Clock,
    settings: RefCell<LiveSettings>,
    dispatcher: RefCell<Dispatcher>,
    next_key: Cell<u64>,
    random: RefCell<Pcg64Mcg>,
}

impl<D: Dialect> FrontState<D> {
    pub(crate) fn new(
        dialect: D,
        settings: LiveSettings,
        incarnation_id: u64,
        peer_address: SocketAddr,
    ) -> Rc<Self> {
        Rc::new(Self {
            dialect,
            pool: Pool::default(),
            peers: Peers::new(peer_address),
            cache_queries: CacheQueries::default(),
            revisions: Revisions::default(),
            directory_last_seen: Cell::new(Time::ZERO),
            directory_unreachable: Cell::new(true),
            shutdown: ShutdownState::default(),
            http: ServiceConfig::default(),
            incarnation_id,
            clock: Clock::start(),
            dispatcher: RefCell::new(Dispatcher::new(settings.dispatch.clone())),
            settings: RefCell::new(settings),
            next_key: Cell::new(1),
            random: RefCell::new(Pcg64Mcg::seed_from_u64(incarnation_id)),
        })
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(crate) fn instant(&self, time: Time) -> Instant {
        self.clock.instant(time)
    }

    /// Replaces the settings that may change while the front serves.
    pub(crate) fn apply_settings(&self, settings: LiveSettings) {
        self.dispatcher.borrow_mut().apply_settings(settings.dispatch.clone());
        *self.settings.borrow_mut() = settings;
    }

    /// Returns how many requests and client connections the machine can handle.
    pub(crate) fn capacity(&self) -> CapacityLimits {
        self.settings.borrow().capacity
    }

    /// Returns the snapshot addresses of the fronts that are asked when the directory is unreachable.
    pub(crate) fn seeds(&self) -> Vec<SocketAddr> {
        self.settings.borrow().seeds.clone()
    }

    /// Returns the time limit for a graceful shutdown.
    pub(crate) fn shutdown_timeout(&self) -> Duration {
        self.settings.borrow().shutdown_timeout
    }

    pub(crate) fn next_key(&self) -> RequestKey {
        let key = self.next_key.get();
        self.next_key.set(key + 1);
        RequestKey::new(key)
    }

    /// Returns a random duration between three and five quarters of `duration`, so that processes don't act in step.
    pub(crate) fn jitter(&self, duration: Duration) -> Duration {
        duration.mul_f64(self.random.borrow_mut().random_range(0.75..1.25))
    }

    pub(crate) fn with_dispatcher<T>(&self, access: impl FnOnce(&Dispatcher) -> T) -> T {
        access(&self.dispatcher.borrow())
    }

    /// Passes an event to the dispatcher and returns the action for the request concerned, if any. Actions that concern
    /// no request are executed here.
    pub(crate) fn handle(self: &Rc<Self>, event: Event) -> Option<Action> {
        let mut actions = Vec::new();
        self.dispatcher.borrow_mut().handle(self.now(), event, &mut actions);
        let mut request_action = None;
        for action in actions {
            match action {
                Action::ReleaseKvCache { address, handle } => {
                    release::spawn(self, address, &handle)
                }
                Action::QueryCache { endpoint, name, address } => {
                    cache_query::spawn(self, endpoint, name, address);
                }
                Action::CloseIdleConnections { endpoint } => self.pool.drop_idle(endpoint),
                Action::SendHeartbeat => self.peers.request_heartbeat(),
                Action::AnnounceCachedPart { endpoint, part } => {
                    self.peers.announce_cached_part(endpoint, part)
                }
                Action::RecordLatency { task, predicted, took, .. } => {
                    record_prediction_error(task, predicted, took)
                }
                action => request_action = Some(action),
            }
        }
        request_action
    }

    pub(crate) fn apply_configuration(self: &Rc<Self>, table: Arc<RouteTable>) {
        let before = self.with_dispatcher(|it| it.table().map(|table| table.version()));
        let (version, routes) = (table.version(), table.len());
        self.handle(Event::Configured(table));
        if before.is_none_or(|it| it < version) {
            log::info!(version, routes, before:?; "configuration in force");
            metrics::gauge!("daisychute_configuration_version").set(version as f64);
        }
    }

    pub(crate) fn upsert_endpoint(self: &Rc<Self>, endpoint: Endpoint) {
        let Endpoint { name, service, address, stage, draining, started_at, .. } = &endpoint;
        log::info!(endpoint:% = name, service:%, address:%, stage:?, draining, born:? = started_at; "endpoint listed");
        self.handle(Event::EndpointUpserted(endpoint));
    }

    pub(crate) fn remove_endpoint(self: &Rc<Self>, name: EndpointName, removal: Removal) {
        log::info!(endpoint:% = name, removal:?; "endpoint not listed any more");
        self.handle(Event::EndpointRemoved { name, removal });
    }

    /// Returns the number of live fronts, this one included.
    pub(crate) fn front_count(&self) -> u32 {
        u32::try_from(self.peers.count(self.now())).unwrap_or(u32::MAX)
    }

    /// Returns the time since a call for configurations last succeeded.
    pub(crate) fn directory_age(&self) -> Duration {
        self.now().since(self.directory_last_seen.get())
    }

    /// Whether a snapshot from a peer is needed: the directory is unreachable, and either no configuration is in force
    /// or a peer has seen later changes.
    pub(crate) fn needs_snapshot(&self) -> bool {
        let unknown = self.with_dispatcher(|it| it.table().is_none());
        self.directory_unreachable.get() && (unknown || self.revisions.is_behind())
    }

    /// Replaces the endpoints by those of a peer that has seen later changes.
    pub(crate) fn replace_endpoints(self: &Rc<Self>, endpoints: &[Endpoint]) {
        let listed: BTreeSet<_> = endpoints.iter().map(|it| &it.name).collect();
        let is_missing = |it: &&EndpointName| !listed.contains(it);
        let missing: Vec<_> =
            self.with_dispatcher(|it| it.fleet().names().filter(is_missing).cloned().collect());
        for name in missing {
            self.remove_endpoint(name, Removal::Left);
        }
        for endpoint in endpoints {
            let is_known = self.with_dispatcher(|it| {
                let key = it.fleet().key(&endpoint.name);
                key.and_then(|key| it.fleet().endpoint(key)).is_some_and(|it| it == endpoint)
            });
            if !is_known {
                self.upsert_endpoint(endpoint.clone());
            }
        }
    }

    /// Whether requests can be served: a configuration is in force, at least one endpoint is known, and no shutdown was
    /// requested.
    pub(crate) fn is_ready(&self) -> bool {
        !self.shutdown.requested()
            && self.with_dispatcher(|it| it.table().is_some() && !it.fleet().is_empty())
    }
}

/// Records the measured time to first output and the error of its prediction.
fn record_prediction_error(task: &'static str, predicted: Duration, took: Duration) {
    metrics::histogram!("daisychute_first_output_seconds", "task" => task).record(took);
    let error = took.abs_diff(predicted);
    metrics::histogram!("daisychute_prediction_error_seconds", "task" => task).record(error);
}
