//! The planner: the only writer of the plan of a region.
//!
//! The lease term is a fencing token. The holder of the lease first writes its term into the plan. After that no write
//! of an earlier term can take effect: each write replaces exactly the version that its writer read, and a writer that
//! reads a higher term than its own gives up.

mod event;
mod weight_loads;
mod settings;
mod plan_change;
mod plan_changes;

use daisychute_core::{EndpointName, Plan, RegionName, Revision, Term, Time};
use daisychute_store::{
    Backoff, Object, ObjectKind, PendingWrite, ReadOutcome, ResourceVersion, WriteId, WriteOutcome,
    WriteResolution,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use self::plan_changes::{RequestedChanges, WeightLoadLimit};
use self::weight_loads::Observations;

pub use self::event::{PlannerAction, PlannerEvent};
pub use self::plan_change::PlanChange;
pub use self::settings::PlannerSettings;

/// The lease as last reported to the planner.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    term: Term,
    /// End of the authority to write plans.
    until: Time,
    /// When the lease was acquired.
    since: Time,
}

/// The plan as stored on the platform, on which the next write is based.
#[derive(Debug, Clone)]
struct Base {
    // `None` if no plan object exists.
    version: Option<ResourceVersion>,
    plan: Plan,
}

/// A write of the plan, including its retries.
#[derive(Debug, Clone)]
struct PlanWrite {
    write: PendingWrite,
    plan: Plan,
}

/// State of the planner's only call to the platform's object store.
#[derive(Debug, Clone)]
enum CallState {
    /// No lease, no call in flight.
    Idle,
    /// The plan must be read again, not before `at`.
    Stale { at: Time },
    /// A read of the plan is in flight.
    Reading,
    /// The stored plan is known. It carries an earlier term until the first write under the current lease.
    Known(Base),
    /// A write of the plan is in flight.
    Writing(PlanWrite),
    /// The result of a write was lost; the plan is read back at `at` to resolve it.
    Ambiguous { plan_write: PlanWrite, at: Time },
    /// The read that resolves an ambiguous write is in flight.
    Resolving(PlanWrite),
}

/// State machine of the planner, without I/O.
#[derive(Debug)]
pub struct Planner {
    settings: PlannerSettings,
    region: RegionName,
    write_id: WriteId,
    lease: Option<HeldLease>,
    state: CallState,
    // Invariant: no lower than any plan revision that this process has seen or written.
    highest_revision: Revision,
    // Invariant: nothing from before the loss of a lease.
    requested: RequestedChanges,
    observations: Observations,
    backoff: Backoff,
    rng: Pcg64,
}

impl Planner {
    /// Creates a planner that doesn't hold the lease. No other part of the process may use the writer name of
    /// `write_id`. `seed` determines the retry delays.
    #[must_use]
    pub fn new(
        settings: PlannerSettings,
        region: RegionName,
        write_id: WriteId,
        seed: u64,
    ) -> Self {
        Self {
            settings,
            region,
            write_id,
            lease: None,
            state: CallState::Idle,
            highest_revision: Revision::ZERO,
            requested: RequestedChanges::default(),
            observations: Observations::default(),
            backoff: Backoff::new(settings.first_retry, settings.longest_retry),
            rng: Pcg64::seed_from_u64(seed),
        }
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: PlannerEvent, out: &mut Vec<PlannerAction>) {
        match event {
            PlannerEvent::Acquired { term, until } => self.acquired(now, term, until),
            PlannerEvent::Renewed { until } => self.renewed(until),
            PlannerEvent::Lost => self.lose_lease(),
            PlannerEvent::Read(outcome) => self.read(now, &outcome, out),
            PlannerEvent::Written(outcome) => self.written(now, outcome, out),
            PlannerEvent::RevisionSeen(revision) => {
                self.highest_revision = self.highest_revision.max(revision)
            }
            PlannerEvent::PlanChangeRequested(change) => self.requested.add(change),
            // A read that outlasted the lease may be old once it is held again.
            PlannerEvent::DrainRequests(_) if self.valid_lease(now).is_none() => {}
            PlannerEvent::DrainRequests(drains) => self.requested.set_operator_drains(drains),
            PlannerEvent::Observed { endpoint, target } => {
                self.observations.update(endpoint, target)
            }
            PlannerEvent::EndpointRemoved(endpoint) => self.remove_endpoint(&endpoint),
            PlannerEvent::Tick => {}
        }
        self.proceed(now, out);
    }

    fn acquired(&mut self, now: Time, term: Term, until: Time) {
        self.lease = Some(HeldLease { term, until, since: now });
        if matches!(self.state, CallState::Idle | CallState::Known(_) | CallState::Stale { .. }) {
            self.state = CallState::Stale { at: now };
        }
    }

    /// Ends the authority to write plans, and drops what was requested under it: another process may plan since, and its
    /// plan must not be undone by what is known from before.
    fn lose_lease(&mut self) {
        self.lease = None;
        self.requested = RequestedChanges::default();
    }

    fn renewed(&mut self, until: Time) {
        if let Some(lease) = &mut self.lease {
            lease.until = until;
        }
    }

    fn remove_endpoint(&mut self, endpoint: &EndpointName) {
        self.observations.remove(endpoint);
        self.requested.remove(endpoint);
    }

    /// The lease, if this process may still act on it.
    fn valid_lease(&self, now: Time) -> Option<HeldLease> {
        self.lease.filter(|it| now < it.until)
    }

    /// Starts the next call to the platform's object store if one is due and this process may act on the lease.
    fn proceed(&mut self, now: Time, out: &mut Vec<PlannerAction>) {
        let Some(lease) = self.valid_lease(now) else { return self.suspend() };
        match &self.state {
            CallState::Idle => self.state = CallState::Stale { at: now },
            CallState::Ambiguous { plan_write, at } if *at <= now => {
                self.state = CallState::Resolving(plan_write.clone());
                out.push(PlannerAction::ReadPlan);
            }
            CallState::Known(base) => self.commit(now, lease, base.clone(), out),
            _ => {}
        }
        match &self.state {
            CallState::Stale { at } if *at <= now => {
                self.state = CallState::Reading;
                out.push(PlannerAction::ReadPlan);
            }
            CallState::Stale { at } | CallState::Ambiguous { at, .. } => {
                out.push(PlannerAction::WakeAt(*at));
            }
            _ => {}
        }
    }

    /// Drops state that is valid only under the lease. States with a call in flight stay until the result arrives.
    fn suspend(&mut self) {
        if matches!(
            self.state,
            CallState::Stale { .. } | CallState::Known(_) | CallState::Ambiguous { .. }
        ) {
            self.state = CallState::Idle;
        }
    }

    /// Writes the next plan if it differs from the stored one, or if the stored one carries an earlier term.
    fn commit(&mut self, now: Time, lease: HeldLease, base: Base, out: &mut Vec<PlannerAction>) {
        let revision = self.highest_revision.max(base.plan.revision).next();
        let mut plan = base.plan.clone();
        let grace_ends = lease.since + self.settings.observe_grace;
        let limit = WeightLoadLimit {
            max: self.settings.max_weight_loads,
            count_unknown: now < grace_ends,
        };
        let changed = self.requested.apply(&mut plan, revision, &self.observations, limit);
        if !changed && plan.term == lease.term {
            return;
        }
        plan.term = lease.term;
        plan.revision = revision;
        self.highest_revision = revision;
        let write = PendingWrite { write_id: self.write_id.take(), base: base.version };
        self.send(PlanWrite { write, plan }, out);
    }

    fn send(&mut self, plan_write: PlanWrite, out: &mut Vec<PlannerAction>) {
        // Serialization can't fail: a plan contains only strings, numbers and booleans, and the keys of its map are names.
        let spec = serde_json::to_value(&plan_write.plan).unwrap_or_default();
        let object = Object::new(ObjectKind::Plans, self.region.as_str(), spec)
            .version(plan_write.write.base.clone())
            .set_write_id(&plan_write.write.write_id);
        out.push(PlannerAction::WritePlan(object));
        self.state = CallState::Writing(plan_write);
    }

    fn read(&mut self, now: Time, outcome: &ReadOutcome, out: &mut Vec<PlannerAction>) {
        match std::mem::replace(&mut self.state, CallState::Idle) {
            CallState::Reading => self.adopt_read(now, outcome, out),
            CallState::Resolving(plan_write) => self.resolve(now, plan_write, outcome, out),
            other => self.state = other,
        }
    }

    /// Bases the next write on the plan that was read.
    fn adopt_read(&mut self, now: Time, outcome: &ReadOutcome, out: &mut Vec<PlannerAction>) {
        let base = match outcome {
            ReadOutcome::Failed => return self.read_later(now),
            ReadOutcome::Missing => Base { version: None, plan: Plan::default() },
            ReadOutcome::Found(object) => match object.parse::<Plan>() {
                Ok(plan) => Base { version: object.metadata.resource_version.clone(), plan },
                Err(error) => {
                    out.push(PlannerAction::MalformedPlan { error: error.to_string() });
                    return self.read_later(now);
                }
            },
        };
        self.backoff.reset();
        self.adopt(now, base, out);
    }

    /// Bases the next write on `base`, or gives up the lease if the plan carries a higher term.
    fn adopt(&mut self, now: Time, base: Base, out: &mut Vec<PlannerAction>) {
        self.highest_revision = self.highest_revision.max(base.plan.revision);
        let term = base.plan.term;
        if self.valid_lease(now).is_some_and(|it| it.term < term) {
            self.lose_lease();
            self.state = CallState::Idle;
            out.push(PlannerAction::TermSeen(term));
        } else {
            self.state = CallState::Known(base);
        }
    }

    fn written(&mut self, now: Time, outcome: WriteOutcome, out: &mut Vec<PlannerAction>) {
        let CallState::Writing(plan_write) = std::mem::replace(&mut self.state, CallState::Idle)
        else {
            return;
        };
        match outcome {
            WriteOutcome::Done(version) => self.committed(now, plan_write, version, out),
            WriteOutcome::Conflict => self.state = CallState::Stale { at: now },
            WriteOutcome::Failed => self.read_later(now),
            WriteOutcome::Unknown => self.resolve_later(now, plan_write),
        }
    }

    fn committed(
        &mut self,
        now: Time,
        plan_write: PlanWrite,
        version: ResourceVersion,
        out: &mut Vec<PlannerAction>,
    ) {
        self.backoff.reset();
        out.push(PlannerAction::Committed { revision: plan_write.plan.revision });
        self.adopt(now, Base { version: Some(version), plan: plan_write.plan }, out);
    }

    /// Resolves a write whose result was lost, from a later read of the plan.
    fn resolve(
        &mut self,
        now: Time,
        plan_write: PlanWrite,
        outcome: &ReadOutcome,
        out: &mut Vec<PlannerAction>,
    ) {
        match plan_write.write.resolve_read(outcome) {
            None => self.resolve_later(now, plan_write),
            Some((WriteResolution::Applied, Some(version))) => {
                self.committed(now, plan_write, version, out)
            }
            Some((WriteResolution::Unchanged, _)) if self.may_send(now, &plan_write) => {
                self.send(plan_write, out)
            }
            Some(_) => self.adopt_read(now, outcome, out),
        }
    }

    /// Whether this process still holds the lease term under which the plan was written.
    fn may_send(&self, now: Time, plan_write: &PlanWrite) -> bool {
        self.valid_lease(now).is_some_and(|it| it.term == plan_write.plan.term)
    }

    fn resolve_later(&mut self, now: Time, plan_write: PlanWrite) {
        let at = now + self.backoff.next_delay(&mut self.rng);
        self.state = CallState::Ambiguous { plan_write, at };
    }

    fn read_later(&mut self, now: Time) {
        self.state = CallState::Stale { at: now + self.backoff.next_delay(&mut self.rng) };
    }
}
