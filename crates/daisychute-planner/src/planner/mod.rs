//! The planner: the only writer of the plan of a region.
//!
//! The holder of the lease first writes its term into the plan, and from then on no write of an earlier term can
//! take effect: each write replaces exactly the version that its writer read, and a writer that reads a higher term
//! than its own gives up.

mod event;
mod loads;
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

use self::loads::Observations;
use self::plan_changes::{LoadLimit, RequestedChanges};

pub use self::event::{PlannerAction, PlannerEvent};
pub use self::plan_change::PlanChange;
pub use self::settings::PlannerSettings;

/// The lease as the planner was told of it.
#[derive(Debug, Clone, Copy)]
struct Authority {
    term: Term,
    until: Time,
    since: Time,
}

/// The plan as it is on the platform.
#[derive(Debug, Clone)]
struct Base {
    // None where there is no object.
    version: Option<ResourceVersion>,
    plan: Plan,
}

/// A write that was sent.
#[derive(Debug, Clone)]
struct Draft {
    write: PendingWrite,
    plan: Plan,
}

/// What the planner does.
#[derive(Debug, Clone)]
enum State {
    /// Nothing, without the lease.
    Idle,
    /// The plan must be read, at this time or later.
    Stale { at: Time },
    /// It is being read.
    Reading,
    /// It is known, and carries this planner's term unless it was not written yet.
    Known(Base),
    /// A new one is being written.
    Writing(Draft),
    /// The answer to a write was lost; read back at this time.
    Unsettled { draft: Draft, at: Time },
    /// Reading back.
    Settling(Draft),
}

/// Decision core of the planner.
#[derive(Debug)]
pub struct Planner {
    settings: PlannerSettings,
    region: RegionName,
    write_id: WriteId,
    authority: Option<Authority>,
    state: State,
    // Invariant: no smaller than any plan revision that this process saw or asked for.
    highest: Revision,
    requested: RequestedChanges,
    seen: Observations,
    backoff: Backoff,
    rng: Pcg64,
}

impl Planner {
    /// The planner of one process, without the lease. `write_id` must be of a writer that no other part of the process
    /// uses.
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
            authority: None,
            state: State::Idle,
            highest: Revision::ZERO,
            requested: RequestedChanges::default(),
            seen: Observations::default(),
            backoff: Backoff::new(settings.first_retry, settings.longest_retry),
            rng: Pcg64::seed_from_u64(seed),
        }
    }

    /// Takes one event.
    pub fn handle(&mut self, now: Time, event: PlannerEvent, out: &mut Vec<PlannerAction>) {
        match event {
            PlannerEvent::Acquired { term, until } => self.acquired(now, term, until),
            PlannerEvent::Renewed { until } => self.renewed(until),
            PlannerEvent::Lost => self.authority = None,
            PlannerEvent::Read(answer) => self.read(now, &answer, out),
            PlannerEvent::Written(answer) => self.written(now, answer, out),
            PlannerEvent::RevisionSeen(revision) => self.highest = self.highest.max(revision),
            PlannerEvent::PlanChangeRequested(change) => self.requested.add(change),
            PlannerEvent::DrainRequests(requests) => self.requested.set_requests(requests),
            PlannerEvent::Observed { endpoint, target } => self.seen.observed(endpoint, target),
            PlannerEvent::EndpointRemoved(endpoint) => self.gone(&endpoint),
            PlannerEvent::Tick => {}
        }
        self.proceed(now, out);
    }

    fn acquired(&mut self, now: Time, term: Term, until: Time) {
        self.authority = Some(Authority { term, until, since: now });
        if matches!(self.state, State::Idle | State::Known(_) | State::Stale { .. }) {
            self.state = State::Stale { at: now };
        }
    }

    fn renewed(&mut self, until: Time) {
        if let Some(authority) = &mut self.authority {
            authority.until = until;
        }
    }

    fn gone(&mut self, endpoint: &EndpointName) {
        self.seen.gone(endpoint);
        self.requested.gone(endpoint);
    }

    /// The lease, while this process may act on it.
    fn authority(&self, now: Time) -> Option<Authority> {
        self.authority.filter(|it| now < it.until)
    }

    /// Makes the next call when it may and must.
    fn proceed(&mut self, now: Time, out: &mut Vec<PlannerAction>) {
        let Some(authority) = self.authority(now) else { return self.stand_by() };
        match &self.state {
            State::Idle => self.state = State::Stale { at: now },
            State::Unsettled { draft, at } if *at <= now => {
                self.state = State::Settling(draft.clone());
                out.push(PlannerAction::ReadPlan);
            }
            State::Known(base) => self.commit(now, authority, base.clone(), out),
            _ => {}
        }
        match &self.state {
            State::Stale { at } if *at <= now => {
                self.state = State::Reading;
                out.push(PlannerAction::ReadPlan);
            }
            State::Stale { at } | State::Unsettled { at, .. } => {
                out.push(PlannerAction::WakeAt(*at));
            }
            _ => {}
        }
    }

    /// Forgets what was known under the lease, but for calls whose answers are still to come.
    fn stand_by(&mut self) {
        if matches!(self.state, State::Stale { .. } | State::Known(_) | State::Unsettled { .. }) {
            self.state = State::Idle;
        }
    }

    /// Writes the next plan if it differs from the present one, or if the present one is of an earlier term.
    fn commit(
        &mut self,
        now: Time,
        authority: Authority,
        base: Base,
        out: &mut Vec<PlannerAction>,
    ) {
        let revision = self.highest.max(base.plan.revision).next();
        let mut plan = base.plan.clone();
        let grace_ends = authority.since + self.settings.observe_grace;
        let limit =
            LoadLimit { max: self.settings.max_weight_loads, count_unknown: now < grace_ends };
        let changed = self.requested.apply(&mut plan, revision, &self.seen, limit);
        if !changed && plan.term == authority.term {
            return;
        }
        plan.term = authority.term;
        plan.revision = revision;
        self.highest = revision;
        let write = PendingWrite { write_id: self.write_id.take(), base: base.version };
        self.send(Draft { write, plan }, out);
    }

    fn send(&mut self, draft: Draft, out: &mut Vec<PlannerAction>) {
        let spec = serde_json::to_value(&draft.plan).unwrap_or_default();
        let object = Object::new(ObjectKind::Plans, self.region.as_str(), spec)
            .version(draft.write.base.clone())
            .set_write_id(&draft.write.write_id);
        out.push(PlannerAction::WritePlan(object));
        self.state = State::Writing(draft);
    }

    fn read(&mut self, now: Time, answer: &ReadOutcome, out: &mut Vec<PlannerAction>) {
        match std::mem::replace(&mut self.state, State::Idle) {
            State::Reading => self.known(now, answer, out),
            State::Settling(draft) => self.settle(now, draft, answer, out),
            other => self.state = other,
        }
    }

    /// Takes the plan that was read as the base of the next write.
    fn known(&mut self, now: Time, answer: &ReadOutcome, out: &mut Vec<PlannerAction>) {
        let base = match answer {
            ReadOutcome::Failed => return self.read_later(now),
            ReadOutcome::Missing => Base { version: None, plan: Plan::default() },
            ReadOutcome::Found(object) => match object.parse::<Plan>() {
                Ok(plan) => Base { version: object.metadata.resource_version.clone(), plan },
                Err(_) => return self.read_later(now),
            },
        };
        self.backoff.reset();
        self.adopt(now, base, out);
    }

    fn adopt(&mut self, now: Time, base: Base, out: &mut Vec<PlannerAction>) {
        self.highest = self.highest.max(base.plan.revision);
        let term = base.plan.term;
        if self.authority(now).is_some_and(|it| it.term < term) {
            self.authority = None;
            self.state = State::Idle;
            out.push(PlannerAction::TermSeen(term));
        } else {
            self.state = State::Known(base);
        }
    }

    fn written(&mut self, now: Time, answer: WriteOutcome, out: &mut Vec<PlannerAction>) {
        let State::Writing(draft) = std::mem::replace(&mut self.state, State::Idle) else { return };
        match answer {
            WriteOutcome::Done(version) => self.committed(now, draft, version, out),
            WriteOutcome::Conflict => self.state = State::Stale { at: now },
            WriteOutcome::Failed => self.read_later(now),
            WriteOutcome::Unknown => self.settle_later(now, draft),
        }
    }

    fn committed(
        &mut self,
        now: Time,
        draft: Draft,
        version: ResourceVersion,
        out: &mut Vec<PlannerAction>,
    ) {
        self.backoff.reset();
        out.push(PlannerAction::Committed { revision: draft.plan.revision });
        self.adopt(now, Base { version: Some(version), plan: draft.plan }, out);
    }

    /// Decides on a write whose answer was lost.
    fn settle(
        &mut self,
        now: Time,
        draft: Draft,
        answer: &ReadOutcome,
        out: &mut Vec<PlannerAction>,
    ) {
        match draft.write.resolve_read(answer) {
            None => self.settle_later(now, draft),
            Some((WriteResolution::Applied, Some(version))) => {
                self.committed(now, draft, version, out)
            }
            Some((WriteResolution::Unchanged, _)) if self.may_send(now, &draft) => {
                self.send(draft, out)
            }
            Some(_) => self.known(now, answer, out),
        }
    }

    /// Whether a draft is still of the lease that this process holds.
    fn may_send(&self, now: Time, draft: &Draft) -> bool {
        self.authority(now).is_some_and(|it| it.term == draft.plan.term)
    }

    fn settle_later(&mut self, now: Time, draft: Draft) {
        let at = now + self.backoff.next_delay(&mut self.rng);
        self.state = State::Unsettled { draft, at };
    }

    fn read_later(&mut self, now: Time) {
        self.state = State::Stale { at: now + self.backoff.next_delay(&mut self.rng) };
    }
}
