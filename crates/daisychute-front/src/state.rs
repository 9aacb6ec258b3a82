//! The state that all tasks of a front share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::fmt::Display;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::ServiceConfig;
use daisychute_core::{EndpointName, SoftwareVersion, Time};
use daisychute_dispatch::{
    Action, BudgetUse, Cause, Dispatcher, Endpoint, EndpointKey, Event, Incarnation, Quarantine,
    Removal, RequestInfo, RequestKey, RequestKind, RequestRate, RouteTable,
};
use daisychute_runtime::Clock;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;
use tokio::time::timeout_at;

use crate::client::body_room::BodyMemory;
use crate::directory::revisions::Revisions;
use crate::directory::store_era::StoreEra;
use crate::duties::boot_clock::BootClock;
use crate::duties::link::DutyLink;
use crate::endpoint::activity::Activity;
use crate::endpoint::cache_query::CacheQueries;
use crate::endpoint::pool::Pool;
use crate::endpoint::{cache_query, health_check, release};
use crate::pacing::LargeBodies;
use crate::peers::Peers;
use crate::shutdown::ShutdownState;
use crate::{
    Admission, CapacityLimits, ConnectionSlots, Departures, Dialect, DirectoryOutage, LimitNotice,
    LiveSettings, PauseRequest, Position, ResponseInfo,
};

/// The state of a front. It is used on one thread only.
pub(crate) struct FrontState<D> {
    pub(crate) dialect: D,
    pub(crate) pool: Pool,
    /// The responses that endpoints begin.
    pub(crate) activity: Activity,
    pub(crate) peers: Peers,
    /// Limits the cache queries to engines.
    pub(crate) cache_queries: CacheQueries,
    pub(crate) revisions: Revisions,
    /// The latest known era of the directory.
    pub(crate) era: StoreEra,
    /// The endpoints that left lately, in case that the directory is restored.
    pub(crate) departures: RefCell<Departures>,
    /// When a call for configurations last succeeded; zero before the first success.
    pub(crate) directory_last_seen: Cell<Time>,
    /// Whether the last call for configurations failed; `true` before the first success.
    pub(crate) directory_unreachable: Cell<bool>,
    /// Whether the directory's records of versions are to be read again.
    pub(crate) version_records_outdated: Cell<bool>,
    /// Notified when a snapshot of a peer may be needed.
    pub(crate) snapshot_wanted: Notify,
    /// The port from which peers fetch snapshots.
    pub(crate) snapshot_port: u16,
    /// Notified when the versions that may have streams may differ from what the directory has recorded.
    pub(crate) versions_may_differ: Notify,
    /// Notified when requests wait for a read of the directory.
    pub(crate) read_wanted: Notify,
    /// Notified when requests that wait for news of the directory or of other fronts should look again.
    pub(crate) news: Notify,
    pub(crate) shutdown: ShutdownState,
    /// Paces the large bodies of responses.
    pub(crate) large_responses: LargeBodies,
    /// Bounds the connections of clients.
    pub(crate) client_slots: ConnectionSlots,
    /// The responses that their clients don't read.
    pub(crate) stalled_responses: ConnectionSlots,
    /// Paces the large bodies of requests.
    pub(crate) large_requests: LargeBodies,
    /// Bounds the bodies of all requests together.
    pub(crate) bodies: Rc<BodyMemory>,
    /// The duties towards the platform; `None` if the deployment has none.
    pub(crate) duties: Option<Rc<DutyLink>>,
    pub(crate) http: ServiceConfig,
    /// Identifies this start of this front; also seeds its random choices.
    pub(crate) incarnation_id: u64,
    clock: Clock,
    boot_clock: BootClock,
    /// Time for which the machine was suspended since the start of the process, as of the last check.
    suspended: Cell<Duration>,
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
        snapshot_port: u16,
        duties: Option<Rc<DutyLink>>,
    ) -> Rc<Self> {
        Rc::new(Self {
            dialect,
            pool: Pool::default(),
            activity: Activity::default(),
            peers: Peers::new(peer_address),
            cache_queries: CacheQueries::default(),
            revisions: Revisions::default(),
            era: StoreEra::default(),
            departures: RefCell::default(),
            directory_last_seen: Cell::new(Time::ZERO),
            directory_unreachable: Cell::new(true),
            version_records_outdated: Cell::new(false),
            snapshot_wanted: Notify::new(),
            snapshot_port,
            versions_may_differ: Notify::new(),
            read_wanted: Notify::new(),
            news: Notify::new(),
            shutdown: ShutdownState::default(),
            large_responses: LargeBodies::default(),
            client_slots: ConnectionSlots::default(),
            stalled_responses: ConnectionSlots::default(),
            large_requests: LargeBodies::default(),
            bodies: BodyMemory::new(),
            duties,
            http: ServiceConfig::default(),
            incarnation_id,
            clock: Clock::start(),
            boot_clock: BootClock::start(),
            suspended: Cell::default(),
            dispatcher: RefCell::new(
                Dispatcher::new(settings.dispatch.clone()).with_version_records(),
            ),
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

    pub(crate) fn time(&self, instant: Instant) -> Time {
        self.clock.time(instant)
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

    /// Whether the route of a request has streams.
    pub(crate) fn is_stream(&self, info: &RequestInfo) -> bool {
        let route = |it: &Dispatcher| it.table()?.find(&info.host, &info.path).map(|it| it.kind);
        self.with_dispatcher(route).is_some_and(RequestKind::is_stream)
    }

    /// Returns the snapshot addresses of the fronts that are asked when the directory is unreachable.
    pub(crate) fn seeds(&self) -> Vec<SocketAddr> {
        self.settings.borrow().seeds.clone()
    }

    /// Returns the time within which connections to the directory that went silent must have been replaced.
    pub(crate) fn max_silence(&self) -> Duration {
        self.settings.borrow().max_silence
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

    /// Returns a random duration up to `limit`, so that processes share out their calls over that time.
    pub(crate) fn spread(&self, limit: Duration) -> Duration {
        limit.mul_f64(self.random.borrow_mut().random_range(0.0..1.0))
    }

    /// Records an era of the directory. `source` is who told it, for the log.
    pub(crate) fn record_era(&self, era: u64, source: impl Display) {
        let Some(previous) = self.era.record(self.now(), era) else { return };
        log::warn!(era, previous, source:%; "era of the store has risen: it was restored from a copy");
        metrics::counter!("daisychute_directory_restores_total").increment(era - previous);
        self.departures.borrow_mut().hold(self.now());
        self.dispatcher.borrow_mut().handle(self.now(), Event::EndpointsMissed, &mut Vec::new());
        self.peers.request_heartbeat();
        self.versions_may_differ.notify_one();
    }

    /// Records the era that a peer told. Peers that don't know it yet, and those of older builds, tell 0.
    pub(crate) fn record_peer_era(&self, era: u64, peer: SocketAddr) {
        if era > 0 {
            self.record_era(era, peer);
        }
    }

    pub(crate) fn with_dispatcher<T>(&self, access: impl FnOnce(&Dispatcher) -> T) -> T {
        access(&self.dispatcher.borrow())
    }

    /// Passes an event to the dispatcher and returns the action for the request concerned, if any. Actions that concern
    /// no request are executed here.
    pub(crate) fn handle(self: &Rc<Self>, event: Event) -> Option<Action> {
        let mut actions = Vec::new();
        let now = self.now();
        self.dispatcher.borrow_mut().handle(now, event, &mut actions);
        let mut request_action = None;
        for action in actions {
            match action {
                Action::ReleaseKvCache { endpoint, address, handle } => {
                    release::spawn(self, endpoint, address, &handle)
                }
                Action::QueryCache { endpoint, name, address } => {
                    cache_query::spawn(self, endpoint, name, address);
                }
                Action::CloseIdleConnections { endpoint } => self.pool.drop_idle(endpoint),
                Action::RecordLeaving { endpoint, by_peer } => {
                    let source = source(by_peer);
                    log::info!(endpoint:%, source; "endpoint announced that it is leaving");
                    metrics::counter!("daisychute_leaving_endpoints_total", "source" => source)
                        .increment(1);
                }
                Action::AnnounceLeaving { endpoint } => {
                    self.peers.leaving.borrow_mut().push(now, endpoint)
                }
                Action::RecordPause { endpoint, pause } => {
                    let pause_ms = pause.as_millis();
                    log::info!(endpoint:%, pause_ms; "endpoint asked for a pause");
                    metrics::counter!("daisychute_endpoint_pauses_total").increment(1);
                }
                Action::RecordOversized { endpoint, bytes, usual, .. } => {
                    log::warn!(endpoint:%, bytes, usual; "response grows far beyond the usual; its endpoint gets no requests for a time");
                    metrics::counter!("daisychute_oversized_responses_total").increment(1);
                }
                Action::RecordMisdirection { endpoint, hold } => {
                    let hold_ms = hold.as_millis();
                    log::warn!(endpoint:%, hold_ms; "endpoint refused a request as meant for another one; it gets none for a time");
                    metrics::counter!("daisychute_misdirections_total").increment(1);
                }
                Action::RecordLimit { endpoint, limit, by_peer } => {
                    log_limit(&endpoint, limit, source(by_peer));
                }
                Action::AnnounceLimit { news } => self.peers.limits.borrow_mut().push(now, news),
                Action::CheckLeaving { endpoint, name, address, path } => {
                    health_check::spawn(self, endpoint, name, address, path);
                }
                Action::SendHeartbeat => self.peers.request_heartbeat(),
                Action::AnnounceOrigin { origin, at_once } => {
                    self.peers.origins.borrow_mut().push(now, origin);
                    if at_once {
                        self.peers.request_urgent_heartbeat();
                    }
                }
                Action::AnnounceCrashNews { news } => {
                    let about_requests = news.is_about_requests();
                    let queue = if about_requests {
                        &self.peers.request_news
                    } else {
                        &self.peers.part_news
                    };
                    queue.borrow_mut().push(now, news);
                    self.peers.request_heartbeat();
                }
                Action::RecordQuarantine { quarantine, by_peer } => {
                    log_quarantine(now, &quarantine, source(by_peer));
                }
                Action::RecordRelease { cause, by_peer } => log_release(cause, source(by_peer)),
                Action::AnnounceCachedPart { endpoint, part } => {
                    self.peers.cached_parts.borrow_mut().push(now, (endpoint, part))
                }
                Action::RecordLatency { task, predicted, took, .. } => {
                    record_prediction_error(task, predicted, took)
                }
                Action::ReadVersionRecords => {
                    log::warn!(
                        "news of other fronts may have been missed; records of software versions are read again"
                    );
                    metrics::counter!("daisychute_contact_losses_total").increment(1);
                    self.version_records_outdated.set(true);
                    self.versions_may_differ.notify_one();
                }
                Action::RecordResumption {
                    request,
                    service,
                    version,
                    basis,
                    waited,
                    heard_ago,
                } => {
                    let configuration =
                        self.with_dispatcher(|it| it.table().map(|it| it.version()));
                    let version = version.as_ref().map_or("", SoftwareVersion::as_str);
                    let basis = basis.as_str();
                    let waited_ms = waited.as_millis();
                    let heard_ms = heard_ago.map(|it| it.as_millis());
                    let behind = self.revisions.is_behind();
                    log::info!(
                        request:%, service:%, version, basis, config:? = configuration, behind, waited_ms, heard_ms:?;
                        "stream resumed by its client"
                    );
                    metrics::counter!("daisychute_resumed_streams_total", "basis" => basis)
                        .increment(1);
                }
                Action::RecordRetryDenied { request, service, budget, fronts } => {
                    let BudgetUse { requests, used, allowance } = budget;
                    log::info!(request:%, service:%, requests, used, allowance, fronts:?; "retry denied: the retry budget is spent");
                    metrics::counter!("daisychute_retries_denied_total").increment(1);
                }
                Action::RecordBegin { tenant, began_at } => {
                    if let Some(duties) = &self.duties {
                        duties.record_begin(&tenant, now.since(began_at));
                    }
                }
                action => request_action = Some(action),
            }
        }
        request_action
    }

    /// Asks for news that a request lacks: of the directory, and of the other fronts if it resumes the stream of this
    /// attempt.
    pub(crate) fn request_news(&self, attempt: Option<u64>) {
        self.version_records_outdated.set(true);
        self.read_wanted.notify_one();
        if let Some(attempt) = attempt {
            self.peers.wanted_origins.borrow_mut().push(self.now(), attempt);
            self.peers.request_urgent_heartbeat();
        }
    }

    /// Waits until there are news for requests that wait for some, at the latest until a time.
    pub(crate) async fn wait_for_news(&self, until: Time) {
        let _ = timeout_at(self.instant(until).into(), self.news.notified()).await;
    }

    /// Tells the dispatcher if the machine was suspended since the last check, so that news may have been missed.
    pub(crate) fn check_suspension(self: &Rc<Self>) {
        let suspended = self.boot_clock.now().since(self.now());
        let since_check = suspended.saturating_sub(self.suspended.get());
        if since_check >= Dispatcher::MIN_SUSPENSION {
            let ms = since_check.as_millis();
            log::warn!(ms; "the machine was suspended");
            self.suspended.set(suspended);
            self.handle(Event::WasSuspended);
        }
    }

    /// Passes on what an endpoint announced in the head of a response to a request that was sent at `sent_at`.
    pub(crate) fn record_notices(
        self: &Rc<Self>,
        endpoint: EndpointKey,
        info: &ResponseInfo,
        sent_at: Time,
    ) {
        // Another endpoint may respond at an address that was used again.
        if !info.misdirected {
            self.record_limit(endpoint, info, sent_at);
        }
        if info.leaving {
            self.handle(Event::LeavingAnnounced { endpoint });
        }
        if let Some(PauseRequest { duration: pause, bounded }) = info.pause {
            if bounded {
                let endpoint = self.endpoint_name(endpoint);
                let pause_ms = pause.as_millis();
                log::warn!(endpoint:?, pause_ms; "Retry-After of an endpoint can't be meant");
            }
            let spread = self.random.borrow_mut().random_range(0.0..1.0);
            self.handle(Event::PauseRequested { endpoint, pause, spread });
        }
    }

    fn record_limit(self: &Rc<Self>, endpoint: EndpointKey, info: &ResponseInfo, sent_at: Time) {
        let known = self.with_dispatcher(|it| it.fleet().limit(endpoint));
        let limit = match info.limit {
            LimitNotice::Named(rate) => Some(rate),
            LimitNotice::Absent if known.is_some() && info.id_matches => None,
            LimitNotice::Absent => return,
            LimitNotice::Unreadable => {
                let name = self.endpoint_name(endpoint);
                log::warn!(endpoint:? = name; "limit that an endpoint names is no rate; it changes nothing");
                return;
            }
        };
        self.handle(Event::LimitNamed { endpoint, limit, sent_at });
    }

    fn endpoint_name(&self, endpoint: EndpointKey) -> Option<EndpointName> {
        self.with_dispatcher(|it| it.fleet().endpoint(endpoint).map(|it| it.name.clone()))
    }

    pub(crate) fn record_leaving_reported(self: &Rc<Self>, endpoints: Vec<Incarnation>) {
        if !endpoints.is_empty() {
            self.handle(Event::LeavingReported { endpoints });
        }
    }

    /// Whether an endpoint takes new work.
    pub(crate) fn takes_work(&self, endpoint: EndpointKey) -> bool {
        self.with_dispatcher(|it| it.fleet().takes_work(self.now(), endpoint))
    }

    /// Puts a configuration in force that this `source`, the directory or a peer, has told, if it is newer. `may_skip` is whether
    /// others may have been in force since the last one.
    pub(crate) fn apply_configuration(
        self: &Rc<Self>,
        table: Arc<RouteTable>,
        source: impl Display,
        may_skip: bool,
    ) {
        let before = self.with_dispatcher(|it| it.table().map(|table| table.version()));
        let (version, routes) = (table.version(), table.len());
        if may_skip && before.is_some_and(|it| it < version) {
            self.handle(Event::ConfigurationsMissed);
        }
        self.handle(Event::Configured(table));
        self.versions_may_differ.notify_one();
        if before.is_none_or(|it| it < version) {
            let lag = self.revisions.end_configuration_lag(self.now());
            let lag_ms = lag.unwrap_or_default().as_millis();
            log::info!(version, routes, before:?, source:%, lag_ms; "configuration in force");
            metrics::histogram!("daisychute_configuration_lag_seconds")
                .record(lag.unwrap_or_default());
            metrics::gauge!("daisychute_configuration_version").set(version as f64);
        }
    }

    /// Applies a record that the directory listed in this era. `removal` says how another incarnation of that name is
    /// removed if the listed one left before the directory was restored.
    pub(crate) fn upsert_endpoint(
        self: &Rc<Self>,
        mut endpoint: Endpoint,
        era: u64,
        removal: Removal,
    ) {
        let now = self.now();
        let current = self.registered(&endpoint.name);
        let admission = self.departures.borrow_mut().admit(now, era, &endpoint, current.as_ref());
        let replaced = current.filter(|it| !it.is_same_incarnation(&endpoint));
        if admission != Admission::AsListed {
            let (name, address) = (&endpoint.name, &endpoint.address);
            log::info!(endpoint:% = name, address:%, admission:?; "endpoint left before the return of the directory; its record isn't applied");
        }
        match admission {
            Admission::AsListed if endpoint.draining => {
                self.departures.borrow_mut().record_draining(now, era, &endpoint);
            }
            Admission::AsListed => {}
            Admission::Draining => endpoint.draining = true,
            Admission::Gone => {
                if replaced.is_some() {
                    self.remove_endpoint(endpoint.name, era, removal);
                }
                return;
            }
        }
        if let Some(replaced) = replaced {
            self.departures.borrow_mut().record_gone(now, now, era, &replaced);
        }
        let Endpoint {
            name, service, address, stage, draining, started_at, software_version, ..
        } = &endpoint;
        let version = software_version.as_ref().map_or("", SoftwareVersion::as_str);
        log::info!(endpoint:% = name, service:%, address:%, stage:?, draining, born:? = started_at, version; "endpoint listed");
        self.handle(Event::EndpointUpserted(endpoint));
        self.versions_may_differ.notify_one();
    }

    /// Removes an endpoint that the directory doesn't list any more in this era.
    pub(crate) fn remove_endpoint(self: &Rc<Self>, name: EndpointName, era: u64, removal: Removal) {
        let now = self.now();
        let Some(endpoint) = self.registered(&name) else {
            self.departures.borrow_mut().confirm_gone(now, era, &name);
            return;
        };
        log::info!(endpoint:% = name, removal:?; "endpoint not listed any more");
        let gone_at = match removal {
            Removal::Left => now,
            Removal::AfterOutage(delay) => now + delay,
        };
        self.departures.borrow_mut().record_gone(now, gone_at, era, &endpoint);
        self.handle(Event::EndpointRemoved { name, removal });
    }

    /// Returns the record of the endpoint of this name that is in the fleet.
    fn registered(&self, name: &EndpointName) -> Option<Endpoint> {
        self.with_dispatcher(|it| it.fleet().endpoint(it.fleet().key(name)?).cloned())
    }

    /// Returns the number of fronts that may serve, this one included.
    pub(crate) fn front_count(&self) -> u32 {
        u32::try_from(self.peers.count(self.now())).unwrap_or(u32::MAX)
    }

    /// Returns the time since a call for configurations last succeeded.
    pub(crate) fn directory_age(&self) -> Duration {
        self.now().since(self.directory_last_seen.get())
    }

    /// Whether a snapshot from a peer is needed: the directory is unreachable, and no configuration is in force, a peer has
    /// seen later changes, or none would tell.
    pub(crate) fn needs_snapshot(&self) -> bool {
        let unknown = || self.with_dispatcher(|it| it.table().is_none());
        let is_alone = || self.peers.is_alone(self.now());
        self.directory_unreachable.get() && (self.revisions.is_behind() || unknown() || is_alone())
    }

    /// Returns some peers that have seen later changes than this front, in random order.
    pub(crate) fn snapshot_sources(&self, count: usize) -> Vec<SocketAddr> {
        let latest_seen = self.revisions.latest_seen();
        let mut peers = self.peers.snapshot_sources.borrow().ahead_of(self.now(), latest_seen);
        peers.shuffle(&mut *self.random.borrow_mut());
        peers.truncate(count);
        peers
    }

    /// Replaces the endpoints by those of a peer that has seen later changes, up to `covered`.
    pub(crate) fn replace_endpoints(self: &Rc<Self>, endpoints: &[Endpoint], covered: Position) {
        let era = covered.era();
        // The peer may not have known endpoints that were registered since the copy.
        let was_restored = era > self.revisions.endpoints_covered().era();
        let removal = if was_restored && self.era.has_risen() {
            Removal::AfterOutage(DirectoryOutage::RECOVERY_WINDOW)
        } else {
            Removal::Left
        };
        self.handle(Event::EndpointsMissed);
        let listed: BTreeSet<_> = endpoints.iter().map(|it| &it.name).collect();
        let is_missing = |it: &&EndpointName| !listed.contains(it);
        let missing: Vec<_> =
            self.with_dispatcher(|it| it.fleet().names().filter(is_missing).cloned().collect());
        for name in missing {
            self.remove_endpoint(name, era, removal);
        }
        for endpoint in endpoints {
            if self.registered(&endpoint.name).as_ref() != Some(endpoint) {
                self.upsert_endpoint(endpoint.clone(), era, removal);
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

/// Where news came from, for logs and metrics.
const fn source(by_peer: bool) -> &'static str {
    if by_peer { "peer" } else { "own" }
}

/// Formats the key of a prompt part for the log.
pub(crate) fn part_key(part: u64) -> String {
    format!("{part:016x}")
}

fn log_limit(endpoint: &EndpointName, limit: Option<RequestRate>, source: &'static str) {
    let per_second = limit.map_or(0.0, RequestRate::per_second);
    let named = limit.is_some();
    log::info!(endpoint:%, named, per_second, source; "endpoint names another limit");
    metrics::counter!("daisychute_limit_changes_total", "source" => source).increment(1);
}

fn log_quarantine(now: Time, quarantine: &Quarantine, source: &'static str) {
    let Quarantine { cause, until, strikes, .. } = *quarantine;
    let for_ms = until.since(now).as_millis();
    let of = match cause {
        Cause::Part(part) => {
            let part_key = part_key(part);
            log::warn!(part_key, source, strikes, for_ms; "prompt part quarantined: engines ended under its requests");
            "part"
        }
        Cause::Request(fingerprint) => {
            log::warn!(fingerprint:%, source, strikes, for_ms; "request quarantined: endpoints ended under it");
            "request"
        }
    };
    metrics::counter!("daisychute_quarantines_total", "source" => source, "of" => of).increment(1);
}

fn log_release(cause: Cause, source: &'static str) {
    match cause {
        Cause::Part(part) => {
            let part_key = part_key(part);
            log::info!(part_key, source; "prompt part is sound; its quarantine is lifted");
        }
        Cause::Request(fingerprint) => {
            log::info!(fingerprint:%, source; "request was answered; its quarantine is lifted");
        }
    }
}

/// Records the measured time to first output and the error of its prediction.
fn record_prediction_error(task: &'static str, predicted: Duration, took: Duration) {
    metrics::histogram!("daisychute_first_output_seconds", "task" => task).record(took);
    let error = took.abs_diff(predicted);
    metrics::histogram!("daisychute_prediction_error_seconds", "task" => task).record(error);
}
