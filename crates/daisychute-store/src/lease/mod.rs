//! Lease of a region or a duty, in one object of the platform's object store.
//!
//! A process takes a lease over only after it has seen the object unchanged for the whole duration by its own clock, so
//! the clocks of two processes are never compared. Each acquisition uses a higher term. The holder's lease period runs
//! from the first send of its last successful write, and it stops acting before that period ends. Safety doesn't rely
//! on clocks alone: every write made under the lease is conditional and carries the term.
//!
//! A process that held the lease before the last holder waits for the whole duration also if the lease was released, so
//! that two processes never act in the order A, B, A within that time.
//!
//! A store that was restored from an older copy has forgotten the latest holders and their terms, and so may each process
//! that is left. What it can't forget is its era, which is the upper part of each term: an acquisition counts only if it was
//! read and written in one era, and its term is one of that era. A record of an earlier era doesn't tell who may be acting.
//! So a holder that learns of a later era stops, and any other process waits for the whole duration.

mod lease_write;
mod event;
mod record;
mod settings;

use std::sync::Arc;

use daisychute_core::{Era, ProcessName, Term, Time};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use self::lease_write::{CallState, LeaseWrite, Purpose};
use crate::backoff::{Backoff, jitter};
use crate::{Object, ReadOutcome, ResourceVersion, WriteId, WriteOutcome, WriteResolution};

pub use self::event::{LeaseAction, LeaseEvent};
pub use self::record::{Holder, LeaseRecord};
pub use self::settings::LeaseSettings;

/// The lease while this process holds it.
#[derive(Debug, Clone)]
struct HeldLease {
    term: Term,
    version: ResourceVersion,
    // Invariant: first send of the last successful write, plus the duration, minus the margin.
    until: Time,
    renew_at: Time,
}

/// Version of the lease object that was read while another process may hold the lease.
#[derive(Debug, Clone)]
struct ObservedLease {
    era: Era,
    /// `None` if the object didn't exist.
    version: Option<ResourceVersion>,
    /// When this process first read this version.
    since: Time,
}

/// Sans-I/O core of a lease.
#[derive(Debug)]
pub struct Lease {
    settings: LeaseSettings,
    /// Name of the lease object.
    name: Arc<str>,
    own_holder: Holder,
    write_id: WriteId,
    /// The latest era of the store that this process knows.
    era: Era,
    /// The process that held the lease before this one, for the records that this process writes.
    previous: Option<ProcessName>,
    /// Whether this process may acquire the lease.
    eligible: bool,
    /// Whether the release was requested; the lease isn't acquired again then.
    release_requested: bool,
    /// Whether the lease is to be released, and may be acquired again later.
    step_down_requested: bool,
    // Invariant: at least every term that this process saw or tried to acquire.
    highest_term: Term,
    /// The highest term of a record that was read or a document that was seen. A record with a lower one is outdated.
    seen_term: Term,
    held: Option<HeldLease>,
    /// Until when no other process can have acquired the lease, because this one held it when it learned that the store was
    /// restored: others wait for longer.
    continues_until: Option<Time>,
    observed: Option<ObservedLease>,
    call: CallState,
    /// When the next read is due: a poll, a retry or the read-back of an ambiguous write. Renewals use `renew_at`.
    next_read_at: Time,
    /// Time of the last event; an earlier time means that the clock went backwards.
    last_now: Time,
    backoff: Backoff,
    rng: Pcg64,
}

impl Lease {
    /// A lease that this process doesn't hold and may not acquire yet. No other part of the process may use the writer
    /// name of `write_id`. `seed` seeds the jitter.
    #[must_use]
    pub fn new(
        settings: LeaseSettings,
        name: impl Into<Arc<str>>,
        own_holder: Holder,
        write_id: WriteId,
        seed: u64,
    ) -> Self {
        Self {
            settings,
            name: name.into(),
            own_holder,
            write_id,
            era: Era::ZERO,
            previous: None,
            eligible: false,
            release_requested: false,
            step_down_requested: false,
            highest_term: Term::ZERO,
            seen_term: Term::ZERO,
            held: None,
            continues_until: None,
            observed: None,
            call: CallState::Idle,
            next_read_at: Time::ZERO,
            last_now: Time::ZERO,
            backoff: Backoff::new(settings.first_retry, settings.longest_retry),
            rng: Pcg64::seed_from_u64(seed),
        }
    }

    /// The latest era of the store that this process knows.
    #[must_use]
    pub const fn era(&self) -> Era {
        self.era
    }

    /// The term under which this process may act as holder now; `None` if it doesn't hold the lease.
    #[must_use]
    pub fn held_term(&self, now: Time) -> Option<Term> {
        let held = self.held.as_ref()?;
        (self.last_now <= now && now < held.until).then_some(held.term)
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: LeaseEvent, out: &mut Vec<LeaseAction>) {
        self.check_clock(now, out);
        match event {
            LeaseEvent::Eligible(eligible) => self.eligible = eligible,
            LeaseEvent::Read { era, outcome } => {
                self.era_seen(now, era, out);
                // An answer from before the return says nothing of the store as it is now.
                let outcome = if era < self.era { ReadOutcome::Failed } else { outcome };
                self.handle_read(now, outcome, out);
            }
            LeaseEvent::Written { era, outcome } => {
                self.era_seen(now, era, out);
                self.handle_written(now, outcome, out);
            }
            LeaseEvent::EraSeen(era) => self.era_seen(now, era, out),
            LeaseEvent::TermSeen(term) => self.term_seen(term, out),
            LeaseEvent::StepDown => self.step_down_requested = self.held.is_some(),
            LeaseEvent::Release => self.release_requested = true,
            LeaseEvent::Tick => {}
        }
        self.start_due_call(now, out);
    }

    /// Drops the lease if it has expired or the clock went backwards.
    fn check_clock(&mut self, now: Time, out: &mut Vec<LeaseAction>) {
        let clock_went_back = now < self.last_now;
        self.last_now = now;
        if clock_went_back {
            self.observed = None;
            self.continues_until = None;
            self.next_read_at = now;
        }
        if clock_went_back || self.held.as_ref().is_some_and(|it| it.until <= now) {
            self.drop_lease(out);
        }
    }

    fn drop_lease(&mut self, out: &mut Vec<LeaseAction>) {
        if let Some(held) = self.held.take() {
            self.step_down_requested = false;
            out.push(LeaseAction::Lost { term: held.term });
        }
    }

    /// Drops the lease if the store was restored: it may have forgotten the acquisition.
    fn era_seen(&mut self, now: Time, era: Era, out: &mut Vec<LeaseAction>) {
        if era <= self.era {
            return;
        }
        self.era = era;
        if let Some(held) = &self.held {
            self.continues_until = Some(held.until);
            self.next_read_at = now;
            self.drop_lease(out);
        }
    }

    fn term_seen(&mut self, term: Term, out: &mut Vec<LeaseAction>) {
        if self.highest_term < term {
            self.continues_until = None;
        }
        self.highest_term = self.highest_term.max(term);
        self.seen_term = self.seen_term.max(term);
        if self.held.as_ref().is_some_and(|it| it.term < term) {
            self.drop_lease(out);
        }
    }

    /// Starts the next call if it is due, and requests a wake-up for the next due time.
    fn start_due_call(&mut self, now: Time, out: &mut Vec<LeaseAction>) {
        match &self.call {
            CallState::Idle => self.start_call(now, out),
            CallState::Ambiguous(lease_write) if self.next_read_at <= now => {
                self.call = CallState::Resolving(lease_write.clone());
                out.push(LeaseAction::Read);
            }
            _ => {}
        }
        if let Some(at) = self.next_wake() {
            out.push(LeaseAction::WakeAt(at));
        }
    }

    fn start_call(&mut self, now: Time, out: &mut Vec<LeaseAction>) {
        if let Some(lease_write) = self.due_write(now) {
            out.push(LeaseAction::Write(lease_write.object.clone()));
            if lease_write.purpose == Purpose::Release {
                self.drop_lease(out);
            }
            self.call = CallState::Writing(lease_write);
        } else if self.held.is_none() && self.may_acquire() && self.next_read_at <= now {
            self.call = CallState::Reading;
            out.push(LeaseAction::Read);
        }
    }

    fn due_write(&mut self, now: Time) -> Option<LeaseWrite> {
        let held = self.held.clone()?;
        if self.release_requested || self.step_down_requested {
            Some(self.build_write(Purpose::Release, held.term, Some(held.version), now))
        } else if held.renew_at <= now {
            Some(self.build_write(Purpose::Renew, held.term, Some(held.version), now))
        } else {
            None
        }
    }

    fn next_wake(&self) -> Option<Time> {
        let next_call = match (&self.call, &self.held) {
            (CallState::Idle, Some(held)) => Some(held.renew_at),
            (CallState::Idle, None) if self.may_acquire() => Some(self.next_read_at),
            (CallState::Ambiguous(_), _) => Some(self.next_read_at),
            _ => None,
        };
        let expiry = self.held.as_ref().map(|it| it.until);
        next_call.into_iter().chain(expiry).min()
    }

    fn may_acquire(&self) -> bool {
        self.eligible && !self.release_requested
    }

    fn handle_read(&mut self, now: Time, outcome: ReadOutcome, out: &mut Vec<LeaseAction>) {
        match std::mem::replace(&mut self.call, CallState::Idle) {
            CallState::Reading => self.handle_poll(now, outcome, out),
            CallState::Resolving(lease_write) => {
                self.resolve_write(now, lease_write, &outcome, out)
            }
            other => self.call = other,
        }
    }

    /// Handles the result of a read made while this process doesn't hold the lease.
    fn handle_poll(&mut self, now: Time, outcome: ReadOutcome, out: &mut Vec<LeaseAction>) {
        match outcome {
            ReadOutcome::Failed => self.retry_later(now),
            ReadOutcome::Missing => self.handle_missing(now, out),
            ReadOutcome::Found(object) => self.handle_found(now, &object, out),
        }
    }

    /// Acquires a lease that nobody held yet. If a term of it was seen, or the store was restored from an older copy, another
    /// process may hold it.
    fn handle_missing(&mut self, now: Time, out: &mut Vec<LeaseAction>) {
        let continues = self.continues(now);
        let is_new = self.seen_term == Term::ZERO && self.era == Era::ZERO;
        let expires_at =
            self.unchanged_since(now, None) + self.settings.duration + self.settings.margin;
        if is_new || continues || expires_at <= now {
            if !continues {
                self.previous = None;
            }
            self.acquire(now, None, out);
        } else {
            self.poll_later(now);
            self.next_read_at = self.next_read_at.min(expires_at);
        }
    }

    fn handle_found(&mut self, now: Time, object: &Object, out: &mut Vec<LeaseAction>) {
        self.backoff.reset();
        let version = object.metadata.resource_version.clone();
        let (Some(version), Ok(record)) = (version, object.parse::<LeaseRecord>()) else {
            return self.poll_later(now);
        };
        // A store that was restored from an older copy has a record that doesn't name the latest holders.
        let is_from_copy = record.term.era() < self.era;
        let is_outdated = is_from_copy || record.term < self.seen_term;
        self.highest_term = self.highest_term.max(record.term);
        self.seen_term = self.seen_term.max(record.term);
        let unchanged_since = self.unchanged_since(now, Some(&version));
        let expires_at = unchanged_since + record.duration() + self.settings.margin;
        let available = record.holder.as_ref().is_none_or(|it| *it == self.own_holder);
        let continues = available && is_from_copy && self.continues(now);
        if available && !is_outdated && !self.returns(&record) || continues || expires_at <= now {
            if !continues {
                self.previous = record.previous_after(&self.own_holder.process);
            }
            self.acquire(now, Some(version), out);
        } else {
            self.poll_later(now);
            self.next_read_at = self.next_read_at.min(expires_at);
        }
    }

    /// Whether this process held the lease when the store was restored, and would still hold it.
    fn continues(&self, now: Time) -> bool {
        self.continues_until.is_some_and(|it| now < it)
    }

    /// Whether this process may have acted shortly before the last holder of the record. The last holder itself may acquire
    /// the lease again at once. The first record after a return of the store doesn't know who acted before.
    fn returns(&self, record: &LeaseRecord) -> bool {
        let own_process = Some(&self.own_holder.process);
        let is_first = self.era > Era::ZERO && record.term == Term::first_in(self.era);
        (is_first || record.previous.as_ref() == own_process) && record.last_holder() != own_process
    }

    fn unchanged_since(&mut self, now: Time, version: Option<&ResourceVersion>) -> Time {
        match &self.observed {
            Some(it) if it.era == self.era && it.version.as_ref() == version => it.since,
            _ => {
                let version = version.cloned();
                self.observed = Some(ObservedLease { era: self.era, version, since: now });
                now
            }
        }
    }

    fn acquire(&mut self, now: Time, base: Option<ResourceVersion>, out: &mut Vec<LeaseAction>) {
        if !self.may_acquire() {
            return;
        }
        let term = self.highest_term.next().max(Term::first_in(self.era));
        let lease_write = self.build_write(Purpose::Acquire, term, base, now);
        out.push(LeaseAction::Write(lease_write.object.clone()));
        self.call = CallState::Writing(lease_write);
    }

    fn handle_written(&mut self, now: Time, outcome: WriteOutcome, out: &mut Vec<LeaseAction>) {
        let CallState::Writing(lease_write) = std::mem::replace(&mut self.call, CallState::Idle)
        else {
            return;
        };
        // It may have taken effect in the restored store, in place of a record that has the same version again.
        if lease_write.era < self.era {
            return self.next_read_at = now;
        }
        match outcome {
            WriteOutcome::Done(version) => self.write_applied(now, &lease_write, version, out),
            WriteOutcome::Conflict => self.write_superseded(now, &lease_write, out),
            WriteOutcome::Failed => self.write_failed(now, &lease_write),
            WriteOutcome::Unknown => self.resolve_later(now, lease_write),
        }
    }

    /// Resolves a write with unknown result from the object that was read back.
    fn resolve_write(
        &mut self,
        now: Time,
        lease_write: LeaseWrite,
        outcome: &ReadOutcome,
        out: &mut Vec<LeaseAction>,
    ) {
        if lease_write.era < self.era {
            return self.next_read_at = now;
        }
        match lease_write.write.resolve_read(outcome) {
            None => self.resolve_later(now, lease_write),
            Some((WriteResolution::Applied, Some(version))) => {
                self.write_applied(now, &lease_write, version, out)
            }
            Some((WriteResolution::Unchanged, _)) => self.repeat_write(now, lease_write, out),
            Some(_) => self.write_superseded(now, &lease_write, out),
        }
    }

    /// Schedules another read-back, unless the write could no longer make this process the holder.
    fn resolve_later(&mut self, now: Time, lease_write: LeaseWrite) {
        self.retry_later(now);
        let still_relevant = lease_write.purpose != Purpose::Release
            && now < lease_write.valid_until(&self.settings);
        self.call =
            if still_relevant { CallState::Ambiguous(lease_write) } else { CallState::Idle };
    }

    /// Sends the same write again with the same write id and condition. The lease period still runs from the first
    /// send.
    fn repeat_write(&mut self, now: Time, lease_write: LeaseWrite, out: &mut Vec<LeaseAction>) {
        if lease_write.valid_until(&self.settings) <= now {
            return self.retry_later(now);
        }
        out.push(LeaseAction::Write(lease_write.object.clone()));
        self.call = CallState::Writing(lease_write);
    }

    fn write_applied(
        &mut self,
        now: Time,
        lease_write: &LeaseWrite,
        version: ResourceVersion,
        out: &mut Vec<LeaseAction>,
    ) {
        self.backoff.reset();
        self.observed = None;
        let until = lease_write.valid_until(&self.settings);
        let expired = until <= now;
        match lease_write.purpose {
            Purpose::Release => self.poll_later(now),
            Purpose::Acquire if !expired => {
                self.set_held(lease_write, version, until);
                out.push(LeaseAction::Acquired { term: lease_write.term, until });
            }
            Purpose::Renew if !expired && self.holds_term(lease_write.term) => {
                self.set_held(lease_write, version, until);
                out.push(LeaseAction::Renewed { until });
            }
            Purpose::Acquire | Purpose::Renew => self.next_read_at = now,
        }
    }

    fn holds_term(&self, term: Term) -> bool {
        self.held.as_ref().is_some_and(|it| it.term == term)
    }

    fn set_held(&mut self, lease_write: &LeaseWrite, version: ResourceVersion, until: Time) {
        let renew_at = lease_write.first_sent_at + self.settings.renew_interval;
        self.held = Some(HeldLease { term: lease_write.term, version, until, renew_at });
    }

    /// Another write came first. If this write was a renewal, the lease is lost.
    fn write_superseded(
        &mut self,
        now: Time,
        lease_write: &LeaseWrite,
        out: &mut Vec<LeaseAction>,
    ) {
        if lease_write.purpose == Purpose::Renew {
            self.drop_lease(out);
        }
        self.poll_later(now);
    }

    /// The write had no effect and the lease object is unchanged.
    fn write_failed(&mut self, now: Time, lease_write: &LeaseWrite) {
        self.retry_later(now);
        let retry_at = self.next_read_at;
        if let Some(held) = self.held.as_mut().filter(|_| lease_write.purpose == Purpose::Renew) {
            held.renew_at = retry_at;
        }
    }

    fn poll_later(&mut self, now: Time) {
        self.next_read_at = now + jitter(self.settings.poll_interval, &mut self.rng);
    }

    fn retry_later(&mut self, now: Time) {
        self.next_read_at = now + self.backoff.next_delay(&mut self.rng);
    }
}
