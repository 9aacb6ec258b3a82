//! The lease of a region, kept in one object on the platform.
//!
//! A lease is taken over only after its object has not changed for its whole duration by the clock of the one that
//! takes it, so no two clocks are ever compared. Each acquisition adds one to the term. The holder counts its time
//! from the moment at which it sent its last successful write, and stops to act before that time is over. Nothing
//! relies on that alone: every write made under the lease is conditional and carries the term.

mod attempt;
mod event;
mod record;
mod settings;

use daisychute_core::{RegionName, Term, Time};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use self::attempt::{Attempt, Call, Purpose};
use crate::backoff::{Backoff, jitter};
use crate::{Object, ReadOutcome, ResourceVersion, WriteId, WriteOutcome, WriteResolution};

pub use self::event::{LeaseAction, LeaseEvent};
pub use self::record::{Holder, LeaseRecord};
pub use self::settings::LeaseSettings;

/// The lease as this process holds it.
#[derive(Debug, Clone)]
struct Held {
    term: Term,
    version: ResourceVersion,
    // Invariant: the send time of the last successful write, plus the duration, less the margin.
    until: Time,
    renew_at: Time,
}

/// The lease as another holds it.
#[derive(Debug, Clone)]
struct Observed {
    version: ResourceVersion,
    /// When this version was first seen.
    since: Time,
}

/// Decision core of a lease.
#[derive(Debug)]
pub struct Lease {
    settings: LeaseSettings,
    region: RegionName,
    me: Holder,
    write_id: WriteId,
    eligible: bool,
    released: bool,
    // Invariant: no smaller than any term that this process saw or asked for.
    highest: Term,
    held: Option<Held>,
    observed: Option<Observed>,
    call: Call,
    /// When the next call is due while none is under way.
    next: Time,
    latest: Time,
    backoff: Backoff,
    rng: Pcg64,
}

impl Lease {
    /// The lease of a region as seen by one process, which doesn't hold it. `write_id` must be of a writer that no
    /// other part of the process uses.
    #[must_use]
    pub fn new(
        settings: LeaseSettings,
        region: RegionName,
        me: Holder,
        write_id: WriteId,
        seed: u64,
    ) -> Self {
        Self {
            settings,
            region,
            me,
            write_id,
            eligible: false,
            released: false,
            highest: Term::ZERO,
            held: None,
            observed: None,
            call: Call::None,
            next: Time::ZERO,
            latest: Time::ZERO,
            backoff: Backoff::new(settings.first_retry, settings.longest_retry),
            rng: Pcg64::seed_from_u64(seed),
        }
    }

    /// The term on which this process may act at this time.
    #[must_use]
    pub fn held_term(&self, now: Time) -> Option<Term> {
        let held = self.held.as_ref()?;
        (self.latest <= now && now < held.until).then_some(held.term)
    }

    /// Takes one event.
    pub fn handle(&mut self, now: Time, event: LeaseEvent, out: &mut Vec<LeaseAction>) {
        self.check_clock(now, out);
        match event {
            LeaseEvent::Eligible(eligible) => self.eligible = eligible,
            LeaseEvent::Read(answer) => self.read(now, answer, out),
            LeaseEvent::Written(answer) => self.written(now, answer, out),
            LeaseEvent::TermSeen(term) => self.term_seen(term, out),
            LeaseEvent::Release => self.released = true,
            LeaseEvent::Tick => {}
        }
        self.proceed(now, out);
    }

    /// Gives the lease up when its time is over, and when the clock went back.
    fn check_clock(&mut self, now: Time, out: &mut Vec<LeaseAction>) {
        let stepped_back = now < self.latest;
        self.latest = now;
        if stepped_back {
            self.observed = None;
            self.next = now;
        }
        if stepped_back || self.held.as_ref().is_some_and(|it| it.until <= now) {
            self.lose(out);
        }
    }

    fn lose(&mut self, out: &mut Vec<LeaseAction>) {
        if let Some(held) = self.held.take() {
            out.push(LeaseAction::Lost { term: held.term });
        }
    }

    fn term_seen(&mut self, term: Term, out: &mut Vec<LeaseAction>) {
        self.highest = self.highest.max(term);
        if self.held.as_ref().is_some_and(|it| it.term < term) {
            self.lose(out);
        }
    }

    /// Makes the next call when it is due, and says when that will be.
    fn proceed(&mut self, now: Time, out: &mut Vec<LeaseAction>) {
        match &self.call {
            Call::None => self.start_call(now, out),
            Call::Unsettled(attempt) if self.next <= now => {
                self.call = Call::Settling(attempt.clone());
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
                self.lose(out);
            }
            self.call = Call::Writing(attempt);
        } else if self.held.is_none() && self.may_acquire() && self.next <= now {
            self.call = Call::Reading;
            out.push(LeaseAction::Read);
        }
    }

    fn due_write(&mut self, now: Time) -> Option<Attempt> {
        let held = self.held.clone()?;
        if self.released {
            Some(self.attempt(Purpose::Release, held.term, Some(held.version), now))
        } else if held.renew_at <= now {
            Some(self.attempt(Purpose::Renew, held.term, Some(held.version), now))
        } else {
            None
        }
    }

    fn next_wake(&self) -> Option<Time> {
        let call = match (&self.call, &self.held) {
            (Call::None, Some(held)) => Some(held.renew_at),
            (Call::None, None) if self.may_acquire() => Some(self.next),
            (Call::Unsettled(_), _) => Some(self.next),
            _ => None,
        };
        let end = self.held.as_ref().map(|it| it.until);
        call.into_iter().chain(end).min()
    }

    fn may_acquire(&self) -> bool {
        self.eligible && !self.released
    }

    fn read(&mut self, now: Time, answer: ReadOutcome, out: &mut Vec<LeaseAction>) {
        match std::mem::replace(&mut self.call, Call::None) {
            Call::Reading => self.looked(now, answer, out),
            Call::Settling(attempt) => self.settle(now, attempt, &answer, out),
            other => self.call = other,
        }
    }

    /// Decides on an object that was read while the lease is not held.
    fn looked(&mut self, now: Time, answer: ReadOutcome, out: &mut Vec<LeaseAction>) {
        match answer {
            ReadOutcome::Failed => self.retry_later(now),
            ReadOutcome::Missing => self.acquire(now, None, out),
            ReadOutcome::Found(object) => self.found(now, &object, out),
        }
    }

    fn found(&mut self, now: Time, object: &Object, out: &mut Vec<LeaseAction>) {
        self.backoff.reset();
        let version = object.metadata.resource_version.clone();
        let (Some(version), Ok(record)) = (version, object.parse::<LeaseRecord>()) else {
            return self.look_later(now);
        };
        self.highest = self.highest.max(record.term);
        let since = self.unchanged_since(now, &version);
        let lapse = since + record.duration() + self.settings.margin;
        let free = record.holder.as_ref().is_none_or(|it| *it == self.me);
        if free || lapse <= now {
            self.acquire(now, Some(version), out);
        } else {
            self.look_later(now);
            self.next = self.next.min(lapse);
        }
    }

    fn unchanged_since(&mut self, now: Time, version: &ResourceVersion) -> Time {
        match &self.observed {
            Some(observed) if observed.version == *version => observed.since,
            _ => {
                self.observed = Some(Observed { version: version.clone(), since: now });
                now
            }
        }
    }

    fn acquire(&mut self, now: Time, base: Option<ResourceVersion>, out: &mut Vec<LeaseAction>) {
        if !self.may_acquire() {
            return;
        }
        let attempt = self.attempt(Purpose::Acquire, self.highest.next(), base, now);
        out.push(LeaseAction::Write(attempt.object.clone()));
        self.call = Call::Writing(attempt);
    }

    fn written(&mut self, now: Time, answer: WriteOutcome, out: &mut Vec<LeaseAction>) {
        let Call::Writing(attempt) = std::mem::replace(&mut self.call, Call::None) else { return };
        match answer {
            WriteOutcome::Done(version) => self.took_effect(now, &attempt, version, out),
            WriteOutcome::Conflict => self.refused(now, &attempt, out),
            WriteOutcome::Failed => self.failed(now, &attempt),
            WriteOutcome::Unknown => self.settle_later(now, attempt),
        }
    }

    /// Decides on a write whose answer was lost.
    fn settle(
        &mut self,
        now: Time,
        attempt: Attempt,
        answer: &ReadOutcome,
        out: &mut Vec<LeaseAction>,
    ) {
        match attempt.write.resolve_read(answer) {
            None => self.settle_later(now, attempt),
            Some((WriteResolution::Applied, Some(version))) => {
                self.took_effect(now, &attempt, version, out)
            }
            Some((WriteResolution::Unchanged, _)) => self.repeat(now, attempt, out),
            Some(_) => self.refused(now, &attempt, out),
        }
    }

    /// Reads back later, while the answer still matters.
    fn settle_later(&mut self, now: Time, attempt: Attempt) {
        self.retry_later(now);
        let matters = attempt.purpose != Purpose::Release && now < attempt.until(&self.settings);
        self.call = if matters { Call::Unsettled(attempt) } else { Call::None };
    }

    /// Sends the same write again: same write id, same condition, and its time still counts from the first sending.
    fn repeat(&mut self, now: Time, attempt: Attempt, out: &mut Vec<LeaseAction>) {
        if attempt.until(&self.settings) <= now {
            return self.retry_later(now);
        }
        out.push(LeaseAction::Write(attempt.object.clone()));
        self.call = Call::Writing(attempt);
    }

    fn took_effect(
        &mut self,
        now: Time,
        attempt: &Attempt,
        version: ResourceVersion,
        out: &mut Vec<LeaseAction>,
    ) {
        self.backoff.reset();
        self.observed = None;
        let until = attempt.until(&self.settings);
        let lapsed = until <= now;
        match attempt.purpose {
            Purpose::Release => self.look_later(now),
            Purpose::Acquire if !lapsed => {
                self.hold(attempt, version, until);
                out.push(LeaseAction::Acquired { term: attempt.term, until });
            }
            Purpose::Renew if !lapsed && self.holds(attempt.term) => {
                self.hold(attempt, version, until);
                out.push(LeaseAction::Renewed { until });
            }
            Purpose::Acquire | Purpose::Renew => self.next = now,
        }
    }

    fn holds(&self, term: Term) -> bool {
        self.held.as_ref().is_some_and(|it| it.term == term)
    }

    fn hold(&mut self, attempt: &Attempt, version: ResourceVersion, until: Time) {
        let renew_at = attempt.sent_at + self.settings.renew_interval;
        self.held = Some(Held { term: attempt.term, version, until, renew_at });
    }

    /// Another write came first.
    fn refused(&mut self, now: Time, attempt: &Attempt, out: &mut Vec<LeaseAction>) {
        if attempt.purpose == Purpose::Renew {
            self.lose(out);
        }
        self.look_later(now);
    }

    /// A write had no effect; nothing else changed.
    fn failed(&mut self, now: Time, attempt: &Attempt) {
        self.retry_later(now);
        let retry_at = self.next;
        if let Some(held) = self.held.as_mut().filter(|_| attempt.purpose == Purpose::Renew) {
            held.renew_at = retry_at;
        }
    }

    fn look_later(&mut self, now: Time) {
        self.next = now + jitter(self.settings.poll_interval, &mut self.rng);
    }

    fn retry_later(&mut self, now: Time) {
        self.next = now + self.backoff.next_delay(&mut self.rng);
    }
}
