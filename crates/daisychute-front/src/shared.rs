//! What all tasks of a front share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::ServiceConfig;
use daisychute_core::{EndpointName, Time};
use daisychute_dispatch::{
    Action, DispatchSettings, Dispatcher, Endpoint, Event, Removal, RequestKey, RouteTable,
};
use daisychute_runtime::Clock;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::Dialect;
use crate::directory::revisions::Revisions;
use crate::endpoint::cache_query::CacheQueries;
use crate::endpoint::pool::Pool;
use crate::endpoint::{cache_query, release};
use crate::peers::Peers;
use crate::stop::Stop;

/// The state of a front. It lives on one thread.
pub(crate) struct Shared<D> {
    pub(crate) dialect: D,
    pub(crate) pool: Pool,
    pub(crate) peers: Peers,
    /// Questions to engines what they keep.
    pub(crate) cache_queries: CacheQueries,
    pub(crate) revisions: Revisions,
    /// When the directory last answered a call for configurations.
    pub(crate) directory_heard: Cell<Time>,
    /// The directory hasn't answered the last call for configurations.
    pub(crate) directory_lost: Cell<bool>,
    pub(crate) stop: Stop,
    pub(crate) http: ServiceConfig,
    /// Tells this incarnation of this front from all others; seeds its random choices.
    pub(crate) incarnation_id: u64,
    clock: Clock,
    dispatcher: RefCell<Dispatcher>,
    next_key: Cell<u64>,
    random: RefCell<Pcg64Mcg>,
}

impl<D: Dialect> Shared<D> {
    pub(crate) fn new(
        dialect: D,
        settings: DispatchSettings,
        incarnation_id: u64,
        inner: SocketAddr,
    ) -> Rc<Self> {
        Rc::new(Self {
            dialect,
            pool: Pool::default(),
            peers: Peers::new(inner),
            cache_queries: CacheQueries::default(),
            revisions: Revisions::default(),
            directory_heard: Cell::new(Time::ZERO),
            directory_lost: Cell::new(true),
            stop: Stop::default(),
            http: ServiceConfig::default(),
            incarnation_id,
            clock: Clock::start(),
            dispatcher: RefCell::new(Dispatcher::new(settings)),
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

    pub(crate) fn next_key(&self) -> RequestKey {
        let key = self.next_key.get();
        self.next_key.set(key + 1);
        RequestKey::new(key)
    }

    /// A span between three quarters and five quarters of `span`, so that processes don't act in step.
    pub(crate) fn jitter(&self, span: Duration) -> Duration {
        span.mul_f64(self.random.borrow_mut().random_range(0.75..1.25))
    }

    pub(crate) fn view<T>(&self, look: impl FnOnce(&Dispatcher) -> T) -> T {
        look(&self.dispatcher.borrow())
    }

    /// Tells the dispatcher of an event and returns what is to be done for the request that it concerns. What
    /// concerns no request is done here.
    pub(crate) fn handle(self: &Rc<Self>, event: Event) -> Option<Action> {
        let mut actions = Vec::new();
        self.dispatcher.borrow_mut().handle(self.now(), event, &mut actions);
        let mut answer = None;
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
                    observe(task, predicted, took)
                }
                action => answer = Some(action),
            }
        }
        answer
    }

    pub(crate) fn configured(self: &Rc<Self>, table: Arc<RouteTable>) {
        let before = self.view(|it| it.table().map(|table| table.version()));
        let (version, routes) = (table.version(), table.len());
        self.handle(Event::Configured(table));
        if before.is_none_or(|it| it < version) {
            log::info!(version, routes, before:?; "configuration in force");
            metrics::gauge!("daisychute_configuration_version").set(version as f64);
        }
    }

    pub(crate) fn listed(self: &Rc<Self>, endpoint: Endpoint) {
        let Endpoint { name, service, address, stage, draining, started_at, .. } = &endpoint;
        log::info!(endpoint:% = name, service:%, address:%, stage:?, draining, born:? = started_at; "endpoint listed");
        self.handle(Event::EndpointUpserted(endpoint));
    }

    pub(crate) fn unlisted(self: &Rc<Self>, name: EndpointName, removal: Removal) {
        log::info!(endpoint:% = name, removal:?; "endpoint not listed any more");
        self.handle(Event::EndpointRemoved { name, removal });
    }

    /// How long ago the directory last answered a call for configurations.
    pub(crate) fn directory_age(&self) -> Duration {
        self.now().since(self.directory_heard.get())
    }

    /// Whether a peer must tell what the directory doesn't: its calls fail, and nothing is known yet or a peer has
    /// seen later changes.
    pub(crate) fn needs_snapshot(&self) -> bool {
        let unknown = self.view(|it| it.table().is_none());
        self.directory_lost.get() && (unknown || self.revisions.is_behind())
    }

    /// Takes in endpoints that a peer knows. One that is known here changes only from ready to leaving, unless the
    /// peer's list is `fresh`: then what it lacks is gone.
    pub(crate) fn learn_endpoints(self: &Rc<Self>, endpoints: &[Endpoint], fresh: bool) {
        if fresh {
            let listed: BTreeSet<_> = endpoints.iter().map(|it| &it.name).collect();
            let gone = |it: &&EndpointName| !listed.contains(it);
            let gone: Vec<_> = self.view(|it| it.fleet().names().filter(gone).cloned().collect());
            for name in gone {
                self.unlisted(name, Removal::Left);
            }
        }
        for endpoint in endpoints {
            let known = self.view(|it| {
                let key = it.fleet().key(&endpoint.name);
                key.and_then(|it_key| it.fleet().endpoint(it_key)).map(|it| it.draining)
            });
            if known.is_none() || (known == Some(false) && endpoint.draining) {
                self.listed(endpoint.clone());
            }
        }
    }

    /// Whether requests can be served: a configuration is known and no stop was asked for.
    pub(crate) fn is_ready(&self) -> bool {
        !self.stop.requested() && self.view(|it| it.table().is_some() && !it.fleet().is_empty())
    }
}

/// Tells how far a prediction was off.
fn observe(task: &'static str, predicted: Duration, took: Duration) {
    metrics::histogram!("daisychute_first_output_seconds", "task" => task).record(took);
    let error = took.abs_diff(predicted);
    metrics::histogram!("daisychute_prediction_error_seconds", "task" => task).record(error);
}
