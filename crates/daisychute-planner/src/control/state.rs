//! The state machines of one process, in a single `RefCell`.

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

use super::timer::JitteredInterval;
use super::{ControlOutput, ControlSettings};
use crate::{Planner, PlannerAction, PlannerEvent};

/// The first of each of the periodic calls is made within this time of the start.
const MAX_FIRST_DELAY: Duration = Duration::from_secs(1);
/// An entry whose status object hasn't changed for this many status intervals is taken for terminated.
const STATUS_LIFETIME_INTERVALS: u32 = 3;

/// The state machines that only entries run.
pub(super) struct EntryCores {
    pub(super) lease: Lease,
    pub(super) planner: Planner,
}

/// The state machines of one process and the state of their I/O shell.
pub(super) struct State {
    pub(super) settings: Rc<ControlSettings>,
    pub(super) client: ObjectClient,
    pub(super) clock: Clock,
    pub(super) outputs: UnboundedSender<ControlOutput>,
    pub(super) configuration: Replica<Configuration>,
    pub(super) plan: Replica<Plan>,
    /// `None` in an agent.
    pub(super) entry_cores: Option<EntryCores>,
    pub(super) watcher_election: WatcherElection,
    /// Tasks of the open watches.
    pub(super) watches: BTreeMap<ObjectKind, JoinHandle<()>>,
    /// Resource version of this process's status object; `None` before the first write and after a failed one.
    pub(super) status_version: Option<ResourceVersion>,
    pub(super) status_interval: JitteredInterval,
    pub(super) status_list_interval: JitteredInterval,
    pub(super) drains_interval: JitteredInterval,
    /// When the shell ticks next; `None` if no wake-up was requested.
    pub(super) wake: Option<Time>,
    /// Notified when `wake` is set or moved to an earlier time.
    pub(super) wake_changed: Rc<Notify>,
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
        let lifetime = settings.status_interval * STATUS_LIFETIME_INTERVALS;
        let is_entry = settings.role == ProcessRole::Entry;
        Self {
            client,
            clock: Clock::start(),
            outputs,
            configuration: Replica::new(settings.replica, seed ^ 1),
            plan: Replica::new(settings.replica, seed ^ 2),
            entry_cores: is_entry.then(|| entry_cores(&settings, seed)),
            watcher_election: WatcherElection::new(
                settings.process.clone(),
                settings.watchers,
                lifetime,
            ),
            watches: BTreeMap::new(),
            status_version: None,
            status_interval: JitteredInterval::new(
                settings.status_interval,
                MAX_FIRST_DELAY,
                &mut rng,
            ),
            status_list_interval: JitteredInterval::new(
                settings.status_interval,
                MAX_FIRST_DELAY,
                &mut rng,
            ),
            drains_interval: JitteredInterval::new(
                settings.drains_interval,
                MAX_FIRST_DELAY,
                &mut rng,
            ),
            settings: Rc::new(settings),
            wake: None,
            wake_changed: Rc::default(),
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
        if let Some(entry_cores) = &mut self.entry_cores {
            entry_cores.lease.handle(now, event, &mut out);
        }
        out
    }

    pub(super) fn planner(&mut self, event: PlannerEvent) -> Vec<PlannerAction> {
        let now = self.clock.now();
        let mut out = Vec::new();
        if let Some(entry_cores) = &mut self.entry_cores {
            entry_cores.planner.handle(now, event, &mut out);
        }
        out
    }

    /// Name of the stored object of a replicated document.
    pub(super) fn document_name(&self, kind: ObjectKind) -> &str {
        match kind {
            ObjectKind::Plans => self.settings.region.as_str(),
            _ => self.settings.deployment.as_str(),
        }
    }

    /// Moves the next tick forward to `at`, unless it is due earlier already.
    pub(super) fn wake_at(&mut self, at: Time) {
        if self.wake.is_none_or(|it| at < it) {
            self.wake = Some(at);
            self.wake_changed.notify_one();
        }
    }

    pub(super) fn emit(&self, output: ControlOutput) {
        if self.outputs.send(output).is_err() {
            log::debug!("control output dropped: the receiver is closed");
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

fn entry_cores(settings: &ControlSettings, seed: u64) -> EntryCores {
    let holder = Holder { process: settings.process.clone(), incarnation: settings.incarnation };
    let writer = format!("{}/{}", settings.process, settings.incarnation);
    let region = settings.region.clone();
    let lease_write_id = WriteId::first(format!("{writer}/lease"));
    let plan_write_id = WriteId::first(format!("{writer}/plan"));
    EntryCores {
        lease: Lease::new(settings.lease, region.as_str(), holder, lease_write_id, seed ^ 3),
        planner: Planner::new(settings.planner, region, plan_write_id, seed ^ 4),
    }
}
