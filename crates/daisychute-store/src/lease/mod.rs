//! Lease of a region, stored in one object on the platform.
//!
//! A process takes a lease over only after it has seen the object unchanged for the whole duration by its own clock, so
//! the clocks of two processes are never compared. Each acquisition uses a higher term. The holder's time runs from the
//! first send of its last successful write, and it stops to act before that time ends. Safety doesn't rely on clocks
//! alone: every write made under the lease is conditional and carries the term.

mod attempt;
mod event;
mod record;
mod settings;

use daisychute_core::{RegionName, Term, Time};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use self::attempt::{Call, Purpose, WriteAttempt};
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
    // Invariant: first send of the last successful write, plus the duration, less the margin.
    until: Time,
    renew_at: Time,
}

/// Version of the lease object that was read while another process may hold the lease.
#[derive(Debug, Clone)]
struct ObservedLease {
    version: ResourceVersion,
    /// When this process first read this version.
    since: Time,
}

/// Sans-I/O core of a lease.
#[derive(Debug)]
pub struct Lease {
    settings: LeaseSettings,
    region: RegionName,
    own_holder: Holder,
    write_id: WriteId,
    /// Whether this process may acquire the lease.
    eligible: bool,
    /// Whether the process shuts down: the lease is released and never acquired again.
    released: bool,
    // Invariant: at least every term that this process saw or tried to acquire.
    highest_term: Term,
    held: Option<HeldLease>,
    observed: Option<ObservedLease>,
    call: Call,
    /// When the next read is due: a poll, a retry or the read-back of an ambiguous write. Renewals use `renew_at`.
    next_call_at: Time,
    /// Time of the last event; an earlier time means that the clock went back.
    last_now: Time,
    backoff: Backoff,
    rng: Pcg64,
}

impl Lease {
    /// A lease that this process doesn't hold and may not acquire yet. `write_id` must belong to a writer that no other
    /// part of the process uses. `seed` seeds the jitter.
    #[must_use]
    pub fn new(
        settings: LeaseSettings,
        region: RegionName,
        own_holder: Holder,
        write_id: WriteId,
        seed: u64,
    ) -> Self {
        Self {
            settings,
            region,
            own_holder,
            write_id,
            eligible: false,
            released: false,
            highest_term: Term::ZERO,
            held: None,
            observed: None,
            call: Call::None,
            next_call_at: Time::ZERO,
            last_now: Time::ZERO,
            backoff: Backoff::new(settings.first_retry, settings.longest_retry),
            rng: Pcg64::seed_from_u64(seed),
        }
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
            LeaseEvent::Read(outcome) => self.handle_read(now, outcome, out),
            LeaseEvent::Written(outcome) => self.handle_written(now, outcome, out),
            LeaseEvent::TermSeen(term) => self.term_seen(term, out),
            LeaseEvent::Release => self.released = true,
            LeaseEvent::Tick => {}
        }
        self.start_due_call(now, out);
    }

    /// Drops the lease when its time is over or the clock went back.
    fn check_clock(&mut self, now: Time, out: &mut Vec<LeaseAction>) {
        let clock_went_back = now < self.last_now;
        self.last_now = now;
        if clock_went_back {
            self.observed = None;
            self.next_call_at = now;
        }
        if clock_went_back || self.held.as_ref().is_some_and(|it| it.until <= now) {
            self.drop_lease(out);
        }
    }

    fn drop_lease(&mut self, out: &mut Vec<LeaseAction>) {
        if let Some(held) = self.held.take() {
            out.push(LeaseAction::Lost { term: held.term });
        }
    }

    fn term_seen(&mut self, term: Term, out: &mut Vec<LeaseAction>) {
        self.highest_term = self.highest_term.max(term);
        if self.held.as_ref().is_some_and(|it| it.term < term) {
            self.drop_lease(out);
        }
    }

    /// Starts the next call if it is due, and requests a wake-up for the next due time.
    fn start_due_call(&mut self, now: Time, out: &mut Vec<LeaseAction>) {
        match &self.call {
            Call::None => self.start_call(now, out),
            Call::Ambiguous(attempt) if self.next_call_at <= now => {
                self.call = Call::Resolving(attempt.clone());
                out.push(LeaseAction::Read);
            }
            _ => {}
        }
        if let Some(at) = self.next_wake() {
            out.push(LeaseAction::WakeAt(at));
        }
    }

    fn start_call(&mut self, now: Time, out: &mut Vec<LeaseAction>) {
        if let Some(attempt) = self.due_write(now) {
            out.push(LeaseAction::Write(attempt.object.clone()));
            if attempt.purpose == Purpose::Release {
                self.drop_lease(out);
            }
            self.call = Call::Writing(attempt);
        } else if self.held.is_none() && self.may_acquire() && self.next_call_at <= now {
            self.call = Call::Reading;
            out.push(LeaseAction::Read);
        }
    }

    fn due_write(&mut self, now: Time) -> Option<WriteAttempt> {
        let held = self.held.clone()?;
        if self.released {
            Some(self.write_attempt(Purpose::Release, held.term, Some(held.version), now))
        } else if held.renew_at <= now {
            Some(self.write_attempt(Purpose::Renew, held.term, Some(held.version), now))
        } else {
            None
        }
    }

    fn next_wake(&self) -> Option<Time> {
        let next_call = match (&self.call, &self.held) {
            (Call::None, Some(held)) => Some(held.renew_at),
            (Call::None, None) if self.may_acquire() => Some(self.next_call_at),
            (Call::Ambiguous(_), _) => Some(self.next_call_at),
            _ => None,
        };
        let expiry = self.held.as_ref().map(|it| it.until);
        next_call.into_iter().chain(expiry).min()
    }

    fn may_acquire(&self) -> bool {
        self.eligible && !self.released
    }

    fn handle_read(&mut self, now: Time, outcome: ReadOutcome, out: &mut Vec<LeaseAction>) {
        match std::mem::replace(&mut self.call, Call::None) {
            Call::Reading => self.handle_poll(now, outcome, out),
            Call::Resolving(attempt) => self.resolve_write(now, attempt, &outcome, out),
            other => self.call = other,
        }
    }

    /// Handles the result of a read made while this process doesn't hold the lease.
    fn handle_poll(&mut self, now: Time, outcome: ReadOutcome, out: &mut Vec<LeaseAction>) {
        match outcome {
            ReadOutcome::Failed => self.retry_later(now),
            ReadOutcome::Missing => self.acquire(now, None, out),
            ReadOutcome::Found(object) => self.handle_found(now, &object, out),
        }
    }

    fn handle_found(&mut self, now: Time, object: &Object, out: &mut Vec<LeaseAction>) {
        self.backoff.reset();
        let version = object.metadata.resource_version.clone();
        let (Some(version), Ok(record)) = (version, object.parse::<LeaseRecord>()) else {
            return self.poll_later(now);
        };
        self.highest_term = self.highest_term.max(record.term);
        let unchanged_since = self.unchanged_since(now, &version);
        let expires_at = unchanged_since + record.duration() + self.settings.margin;
        let available = record.holder.as_ref().is_none_or(|it| *it == self.own_holder);
        if available || expires_at <= now {
            self.acquire(now, Some(version), out);
        } else {
            self.poll_later(now);
            self.next_call_at = self.next_call_at.min(expires_at);
        }
    }

    fn unchanged_since(&mut self, now: Time, version: &ResourceVersion) -> Time {
        match &self.observed {
            Some(observed) if observed.version == *version => observed.since,
            _ => {
                self.observed = Some(ObservedLease { version: version.clone(), since: now });
                now
            }
        }
    }

    fn acquire(&mut self, now: Time, base: Option<ResourceVersion>, out: &mut Vec<LeaseAction>) {
        if !self.may_acquire() {
            return;
        }
        let attempt = self.write_attempt(Purpose::Acquire, self.highest_term.next(), base, now);
        out.push(LeaseAction::Write(attempt.object.clone()));
        self.call = Call::Writing(attempt);
    }

    fn handle_written(&mut self, now: Time, outcome: WriteOutcome, out: &mut Vec<LeaseAction>) {
        let Call::Writing(attempt) = std::mem::replace(&mut self.call, Call::None) else { return };
        match outcome {
            WriteOutcome::Done(version) => self.write_applied(now, &attempt, version, out),
            WriteOutcome::Conflict => self.write_superseded(now, &attempt, out),
            WriteOutcome::Failed => self.write_failed(now, &attempt),
            WriteOutcome::Unknown => self.resolve_later(now, attempt),
        }
    }

    /// Resolves a write with unknown result from the object that was read back.
    fn resolve_write(
        &mut self,
        now: Time,
        attempt: WriteAttempt,
        outcome: &ReadOutcome,
        out: &mut Vec<LeaseAction>,
    ) {
        match attempt.write.resolve_read(outcome) {
            None => self.resolve_later(now, attempt),
            Some((WriteResolution::Applied, Some(version))) => {
                self.write_applied(now, &attempt, version, out)
            }
            Some((WriteResolution::Unchanged, _)) => self.repeat_write(now, attempt, out),
            Some(_) => self.write_superseded(now, &attempt, out),
        }
    }

    /// Schedules another read-back, unless the write could no longer make this process the holder.
    fn resolve_later(&mut self, now: Time, attempt: WriteAttempt) {
        self.retry_later(now);
        let still_relevant =
            attempt.purpose != Purpose::Release && now < attempt.valid_until(&self.settings);
        self.call = if still_relevant { Call::Ambiguous(attempt) } else { Call::None };
    }

    /// Sends the same write again with the same write id and condition. Its time still runs from the first send.
    fn repeat_write(&mut self, now: Time, attempt: WriteAttempt, out: &mut Vec<LeaseAction>) {
        if attempt.valid_until(&self.settings) <= now {
            return self.retry_later(now);
        }
        out.push(LeaseAction::Write(attempt.object.clone()));
        self.call = Call::Writing(attempt);
    }

    fn write_applied(
        &mut self,
        now: Time,
        attempt: &WriteAttempt,
        version: ResourceVersion,
        out: &mut Vec<LeaseAction>,
    ) {
        self.backoff.reset();
        self.observed = None;
        let until = attempt.valid_until(&self.settings);
        let expired = until <= now;
        match attempt.purpose {
            Purpose::Release => self.poll_later(now),
            Purpose::Acquire if !expired => {
                self.set_held(attempt, version, until);
                out.push(LeaseAction::Acquired { term: attempt.term, until });
            }
            Purpose::Renew if !expired && self.holds_term(attempt.term) => {
                self.set_held(attempt, version, until);
                out.push(LeaseAction::Renewed { until });
            }
            Purpose::Acquire | Purpose::Renew => self.next_call_at = now,
        }
    }

    fn holds_term(&self, term: Term) -> bool {
        self.held.as_ref().is_some_and(|it| it.term == term)
    }

    fn set_held(&mut self, attempt: &WriteAttempt, version: ResourceVersion, until: Time) {
        let renew_at = attempt.first_sent_at + self.settings.renew_interval;
        self.held = Some(HeldLease { term: attempt.term, version, until, renew_at });
    }

    /// Another write came first. If this write was a renewal, the lease is lost.
    fn write_superseded(&mut self, now: Time, attempt: &WriteAttempt, out: &mut Vec<LeaseAction>) {
        if attempt.purpose == Purpose::Renew {
            self.drop_lease(out);
        }
        self.poll_later(now);
    }

    /// The write had no effect and the lease object is unchanged.
    fn write_failed(&mut self, now: Time, attempt: &WriteAttempt) {
        self.retry_later(now);
        let retry_at = self.next_call_at;
        if let Some(held) = self.held.as_mut().filter(|_| attempt.purpose == Purpose::Renew) {
            held.renew_at = retry_at;
        }
    }

    fn poll_later(&mut self, now: Time) {
        self.next_call_at = now + jitter(self.settings.poll_interval, &mut self.rng);
    }

    fn retry_later(&mut self, now: Time) {
        self.next_call_at = now + self.backoff.next_delay(&mut self.rng);
    }
}
