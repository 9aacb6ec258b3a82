//! The cores of one process, behind one borrow.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use daisychute_core::{Configuration, Plan, ProcessRole, Time};
use daisychute_runtime::Clock;
use daisychute_store::{
    Holder, Lease, LeaseAction, LeaseEvent, ObjectClient, ObjectKind, Replica, ReplicaAction,
    ReplicaEvent, ResourceVersion, WatcherElection, WriteId,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::timer::Every;
use super::{ControlOutput, ControlSettings};
use crate::{Planner, PlannerAction, PlannerEvent};

/// Within this span of its start a process makes its first periodic calls.
const SOON: Duration = Duration::from_secs(1);
/// A status that has not changed for so many intervals is of a process that is gone.
const STATUS_LIFETIME: u32 = 3;

/// The cores by which an entry takes part in planning.
pub(super) struct Authority {
    pub(super) lease: Lease,
    pub(super) planner: Planner,
}

/// The cores of one process and what their shell keeps beside them.
pub(super) struct State {
    pub(super) settings: Rc<ControlSettings>,
    pub(super) client: ObjectClient,
    pub(super) clock: Clock,
    pub(super) outputs: UnboundedSender<ControlOutput>,
    pub(super) configuration: Replica<Configuration>,
    pub(super) plan: Replica<Plan>,
    /// None in an agent.
    pub(super) authority: Option<Authority>,
    pub(super) candidates: WatcherElection,
    pub(super) watches: BTreeMap<ObjectKind, JoinHandle<()>>,
    pub(super) status_version: Option<ResourceVersion>,
    pub(super) status_due: Every,
    pub(super) statuses_due: Every,
    pub(super) drains_due: Every,
    pub(super) wake: Option<Time>,
    pub(super) woken: Rc<Notify>,
    pub(super) rng: Pcg64,
}

impl State {
    pub(super) fn new(
        settings: ControlSettings,
        client: ObjectClient,
        outputs: UnboundedSender<ControlOutput>,
    ) -> Self {
        let seed =
            xxh3_64_with_seed(settings.process.as_str().as_bytes(), settings.incarnation.get());
        let mut rng = Pcg64::seed_from_u64(seed);
        let lifetime = settings.status_interval * STATUS_LIFETIME;
        let is_entry = settings.role == ProcessRole::Entry;
        Self {
            client,
            clock: Clock::start(),
            outputs,
            configuration: Replica::new(settings.replica, seed ^ 1),
            plan: Replica::new(settings.replica, seed ^ 2),
            authority: is_entry.then(|| authority(&settings, seed)),
            candidates: WatcherElection::new(settings.process.clone(), settings.watchers, lifetime),
            watches: BTreeMap::new(),
            status_version: None,
            status_due: Every::new(settings.status_interval, SOON, &mut rng),
            statuses_due: Every::new(settings.status_interval, SOON, &mut rng),
            drains_due: Every::new(settings.drains_interval, SOON, &mut rng),
            settings: Rc::new(settings),
            wake: None,
            woken: Rc::default(),
            rng,
        }
    }

    pub(super) fn replica(&mut self, kind: ObjectKind, event: ReplicaEvent) -> Vec<ReplicaAction> {
        let now = self.clock.now();
        let mut out = Vec::new();
        match kind {
            ObjectKind::Plans => self.plan.handle(now, event, &mut out),
            _ => self.configuration.handle(now, event, &mut out),
        }
        out
    }

    pub(super) fn lease(&mut self, event: LeaseEvent) -> Vec<LeaseAction> {
        let now = self.clock.now();
        let mut out = Vec::new();
        if let Some(authority) = &mut self.authority {
            authority.lease.handle(now, event, &mut out);
        }
        out
    }

    pub(super) fn planner(&mut self, event: PlannerEvent) -> Vec<PlannerAction> {
        let now = self.clock.now();
        let mut out = Vec::new();
        if let Some(authority) = &mut self.authority {
            authority.planner.handle(now, event, &mut out);
        }
        out
    }

    /// The name of the object of a shared document.
    pub(super) fn document_name(&self, kind: ObjectKind) -> &str {
        match kind {
            ObjectKind::Plans => self.settings.region.as_str(),
            _ => self.settings.deployment.as_str(),
        }
    }

    /// Makes the timer run out at this time, if it would run out later.
    pub(super) fn wake_at(&mut self, at: Time) {
        if self.wake.is_none_or(|it| at < it) {
            self.wake = Some(at);
            self.woken.notify_one();
        }
    }

    pub(super) fn tell(&self, output: ControlOutput) {
        if self.outputs.send(output).is_err() {
            log::debug!("nobody listens to the control shell any more");
        }
    }
}

impl Drop for State {
    fn drop(&mut self) {
        for watch in self.watches.values() {
            watch.abort();
        }
    }
}

fn authority(settings: &ControlSettings, seed: u64) -> Authority {
    let holder = Holder { process: settings.process.clone(), incarnation: settings.incarnation };
    let writer = format!("{}/{}", settings.process, settings.incarnation);
    let region = settings.region.clone();
    let lease_write_id = WriteId::first(format!("{writer}/lease"));
    let plan_write_id = WriteId::first(format!("{writer}/plan"));
    Authority {
        lease: Lease::new(settings.lease, region.clone(), holder, lease_write_id, seed ^ 3),
        planner: Planner::new(settings.planner, region, plan_write_id, seed ^ 4),
    }
}
