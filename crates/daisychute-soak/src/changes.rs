//! Checks that changes of the configuration and of workers are in force in time, at each front by itself.
//!
//! Each configuration tells itself apart by its routes: [`OWN_PATH`] and its version, which exists in a few versions from
//! that one on, and [`MOVED_PATH`], which is moved to another service by each version.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::Instant;

use crate::checks::Violation;

/// Path of the route that a version adds, followed by its number.
pub(crate) const OWN_PATH: &str = "/own-";
/// Path of the route that each version moves.
pub(crate) const MOVED_PATH: &str = "/moved/";
/// The services that [`MOVED_PATH`] is moved between.
pub(crate) const SERVICES: [&str; 2] = ["feed", "feed-b"];
/// Number of versions for which an added route exists.
const OWN_ROUTE_VERSIONS: u64 = 4;

/// Time for which nothing may have disturbed a front and the store before bounds hold for it.
pub(crate) const STABLE: Duration = Duration::from_secs(4);
/// Time from the acknowledgement of a configuration until requests must be handled by it.
const CONFIG_APPLY: Duration = Duration::from_secs(3);
/// Time from the acknowledgement that a worker leaves until no request may reach it.
const DRAIN: Duration = Duration::from_secs(3);
/// Time from the first effect of a version until its front may not fall back to an older one.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);
/// Time that the stand-ins themselves may take, on one thread, to send or receive a request.
const MEASURING_SLACK: Duration = Duration::from_millis(150);

/// Returns the routes that a version adds to those of all versions.
pub(crate) fn routes(version: u64) -> Value {
    let route = |path: &str, service: &str| {
        json!({
            "name": path.trim_matches('/'), "host": daisychute_platform_standin::HOST, "path_prefix": path,
            "kind": "idempotent", "timeout_ms": 1000, "latency_goal_ms": 100, "service": service, "max_attempts": 2,
        })
    };
    let first = version.saturating_sub(OWN_ROUTE_VERSIONS - 1);
    let own = (first..=version).map(|it| route(&format!("{OWN_PATH}{it}/"), SERVICES[0]));
    own.chain([route(MOVED_PATH, moved_to(version))]).collect()
}

/// Returns routes that no request uses, which make a configuration large.
pub(crate) fn unused_routes(count: usize) -> impl Iterator<Item = Value> {
    (0..count).map(|number| {
        json!({
            "name": format!("unused-{number}"), "host": "unused.example", "path_prefix": format!("/{number}/"),
            "kind": "idempotent", "timeout_ms": 1000, "latency_goal_ms": 100, "service": SERVICES[0], "max_attempts": 1,
        })
    })
}

/// The service of [`MOVED_PATH`] in a version.
fn moved_to(version: u64) -> &'static str {
    SERVICES[usize::from(version % 2 == 1)]
}

/// How a request was handled, as far as that tells the version in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Handled {
    /// A worker of this service ran it.
    By(String),
    /// The front had no route for it.
    WithoutRoute,
}

/// What a request was sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Target {
    /// The route that this version added.
    Own(u64),
    /// The route that each version moves.
    Moved,
}

impl Target {
    pub(crate) fn path(self) -> String {
        match self {
            Self::Own(version) => format!("{OWN_PATH}{version}/"),
            Self::Moved => MOVED_PATH.to_owned(),
        }
    }

    /// Whether a front with this version in force handles a request like that.
    fn allows(self, version: u64, handled: &Handled) -> bool {
        match (self, handled) {
            (Self::Moved, Handled::By(service)) => service == moved_to(version),
            (Self::Moved, Handled::WithoutRoute) => false,
            (Self::Own(own), handled) => {
                let exists = own <= version && version < own + OWN_ROUTE_VERSIONS;
                exists == matches!(handled, Handled::By(_))
            }
        }
    }
}

/// A request whose handling tells which versions may have been in force.
#[derive(Debug, Clone)]
pub(crate) struct Probe {
    pub(crate) id: String,
    pub(crate) front: usize,
    /// Address of the front, which changes with each start.
    pub(crate) address: SocketAddr,
    pub(crate) target: Target,
    /// `None` if the response tells nothing, such as a refusal.
    pub(crate) handled: Option<Handled>,
    pub(crate) sent_at: Instant,
    pub(crate) ended_at: Instant,
}

/// A time in which the rules with a bound don't hold.
#[derive(Debug, Clone)]
struct Disturbance {
    /// The front that was disturbed; `None` for the store and thus for all fronts.
    front: Option<usize>,
    from: Instant,
    to: Instant,
}

/// A worker that the store listed as draining, or didn't list any more.
#[derive(Debug, Clone, Copy)]
struct Departure {
    worker: usize,
    acknowledged: Instant,
    /// When it was registered again.
    returned: Option<Instant>,
}

/// What the operator and the workers changed, and when which front was disturbed.
#[derive(Debug, Default)]
pub(crate) struct Changes {
    /// The valid versions, with the times of their acknowledgements.
    versions: Vec<(u64, Instant)>,
    departures: Vec<Departure>,
    disturbances: Vec<Disturbance>,
}

/// How much a run has checked.
#[derive(Debug, Default)]
pub(crate) struct Checked {
    versions: usize,
    departures: usize,
    probes: usize,
    /// Requests that had to be handled by a version later than the first.
    bound: usize,
    /// Departures, each counted once for each front that was in touch after it.
    bound_departures: usize,
}

impl Checked {
    /// Whether both rules had cases.
    pub(crate) const fn has_cases(&self) -> bool {
        self.bound > 0 && self.bound_departures > 0
    }
}

impl std::fmt::Display for Checked {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { versions, departures, probes, bound, bound_departures } = self;
        write!(
            f,
            "changes: {versions} versions, {departures} departures, {bound} of {probes} probes bound, {bound_departures} fronts with a departure"
        )
    }
}

impl Changes {
    /// Records that the store acknowledged a valid version.
    pub(crate) fn record_version(&mut self, version: u64) {
        self.versions.push((version, Instant::now()));
    }

    /// Records that the store acknowledged that a worker drains or is gone. Returns whether it was there before.
    pub(crate) fn record_departure(&mut self, worker: usize) -> bool {
        if self.is_away(worker) {
            return false;
        }
        let acknowledged = Instant::now();
        self.departures.push(Departure { worker, acknowledged, returned: None });
        true
    }

    /// Records that a worker is about to be registered again.
    pub(crate) fn record_return(&mut self, worker: usize) {
        let away = self.departures.iter_mut().filter(|it| it.worker == worker);
        away.filter(|it| it.returned.is_none()).for_each(|it| it.returned = Some(Instant::now()));
    }

    pub(crate) fn is_away(&self, worker: usize) -> bool {
        self.departures.iter().any(|it| it.worker == worker && it.returned.is_none())
    }

    /// Records that a front, or the store if `None`, is disturbed for this long from now on.
    pub(crate) fn record_disturbance(&mut self, front: Option<usize>, span: Duration) {
        let from = Instant::now();
        self.disturbances.push(Disturbance { front, from, to: from + span });
    }

    /// Whether nothing disturbed the store, and this front unless `None`, in this time.
    fn is_calm(&self, front: Option<usize>, during: &Range<Instant>) -> bool {
        let concerns = |it: &&Disturbance| it.front.is_none() || it.front == front;
        let overlaps = |it: &Disturbance| it.from <= during.end && it.to >= during.start;
        !self.disturbances.iter().filter(concerns).any(overlaps)
    }

    /// Checks the probes, and what workers received (`received`: for each worker, the times and ids of requests).
    pub(crate) fn check(
        &self,
        probes: &[Probe],
        received: &[Vec<(Instant, String)>],
    ) -> (Vec<Violation>, Checked) {
        let mut checked = Checked {
            versions: self.versions.len(),
            departures: self.departures.len(),
            probes: probes.len(),
            ..Checked::default()
        };
        let mut violations = self.check_versions(probes, &mut checked);
        violations.extend(self.check_regressions(probes));
        violations.extend(self.check_departures(probes, received, &mut checked));
        (violations, checked)
    }

    /// The versions by which a probe may have been handled if the front knew at least the version at index `first`.
    fn fitting<'a>(&'a self, probe: &'a Probe, first: usize) -> impl Iterator<Item = u64> + 'a {
        let written = self.versions.iter().filter(|it| it.1 <= probe.ended_at + MEASURING_SLACK);
        let versions = written.skip(first).map(|it| it.0);
        let handled = probe.handled.iter();
        versions.filter(move |it| handled.clone().all(|handled| probe.target.allows(*it, handled)))
    }

    fn check_versions(&self, probes: &[Probe], checked: &mut Checked) -> Vec<Violation> {
        let mut violations = Vec::new();
        for probe in probes.iter().filter(|it| it.handled.is_some()) {
            let bound = probe.sent_at - CONFIG_APPLY - MEASURING_SLACK;
            let Some(due) = self.versions.iter().rposition(|it| it.1 <= bound) else { continue };
            // The slack also covers that a disturbance is recorded before it begins.
            let during = probe.sent_at - STABLE - MEASURING_SLACK..probe.ended_at;
            if due == 0 || !self.is_calm(Some(probe.front), &during) {
                continue;
            }
            checked.bound += 1;
            if self.fitting(probe, due).next().is_none() {
                let (version, at) = self.versions[due];
                let after = probe.sent_at.duration_since(at);
                violations.push(Violation::new(format!(
                    "CONFIG: front {} handled {} ({}) as {:?}, sent {after:?} after version {version}",
                    probe.front, probe.target.path(), probe.id, probe.handled,
                )));
            }
        }
        violations
    }

    /// Checks that no start of a front falls back to a version before one whose effect was seen.
    fn check_regressions(&self, probes: &[Probe]) -> Vec<Violation> {
        let mut violations = Vec::new();
        // For each start of a front, the versions whose effect was seen, with the time of the first one.
        let mut seen: HashMap<SocketAddr, BTreeMap<u64, Instant>> = HashMap::new();
        let mut ordered: Vec<_> = probes.iter().filter(|it| it.handled.is_some()).collect();
        ordered.sort_by_key(|it| it.ended_at);
        for probe in ordered {
            let effects = seen.entry(probe.address).or_default();
            let is_old = |it: &(&u64, &Instant)| *it.1 + ROLLBACK_SLACK < probe.sent_at;
            let floor = effects.iter().rev().find(is_old).map_or(0, |it| *it.0);
            let fitting: Vec<_> = self.fitting(probe, 0).collect();
            if !fitting.iter().any(|it| *it >= floor) {
                violations.push(Violation::new(format!(
                    "CONFIG: front {} handled {} ({}) as {:?} after an effect of version {floor}",
                    probe.front,
                    probe.target.path(),
                    probe.id,
                    probe.handled,
                )));
            }
            if let Some(lowest) = fitting.first() {
                effects.entry(*lowest).or_insert(probe.ended_at);
            }
        }
        violations
    }

    fn check_departures(
        &self,
        probes: &[Probe],
        received: &[Vec<(Instant, String)>],
        checked: &mut Checked,
    ) -> Vec<Violation> {
        let probes: HashMap<_, _> = probes.iter().map(|it| (it.id.as_str(), it)).collect();
        let fronts = probes.values().map(|it| it.front + 1).max().unwrap_or_default();
        let mut violations = Vec::new();
        for departure in &self.departures {
            let Departure { worker, acknowledged, returned } = *departure;
            // The acknowledgement counts if the store was calm.
            let before = acknowledged - STABLE..acknowledged;
            let bound = acknowledged + DRAIN;
            let until = returned.unwrap_or_else(Instant::now);
            if bound >= until || !self.is_calm(None, &before) {
                continue;
            }
            let is_bound = |front: &usize| self.is_calm(Some(*front), &(bound - STABLE..bound));
            checked.bound_departures += (0..fronts).filter(is_bound).count();
            for (at, id) in &received[worker] {
                let late = bound + MEASURING_SLACK < *at && *at < until;
                let Some(probe) = probes.get(id.as_str()).filter(|_| late) else { continue };
                if self.is_calm(Some(probe.front), &(*at - STABLE..*at)) {
                    let after = at.duration_since(acknowledged);
                    violations.push(Violation::new(format!(
                        "DRAIN: front {} sent {id} to worker {worker}, {after:?} after it had left",
                        probe.front,
                    )));
                }
            }
        }
        violations
    }
}
