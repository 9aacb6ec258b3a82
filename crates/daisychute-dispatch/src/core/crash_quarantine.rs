//! Requests and prompt parts under which endpoints end, and their quarantine.
//!
//! A request can end the endpoint that runs it; with each retry, and each time that its client sends it again, another
//! one. Such requests are the same, or have a part of their prompts in common. Each front tells the others under what
//! endpoints ended ([`CrashNews`](crate::CrashNews)), so that all come to the same verdict after a few ends, wherever
//! the requests arrive.

use std::sync::Arc;
use std::time::Duration;

use daisychute_core::Time;
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::core::answered_requests::AnsweredRequests;
use crate::core::crash_record::{CrashRecord, EndpointEnd};
use crate::core::crash_records::CrashRecords;
use crate::{Cause, Quarantine, Suspect};

/// A quarantine, kept after it has expired until a trial is answered.
#[derive(Debug, Clone, Copy)]
struct Held {
    quarantine: Quarantine,
    /// Whether this front has sent a request as a trial, whose result isn't known.
    on_trial: bool,
    /// When this front announces the quarantine again.
    next_announcement: Time,
}

/// Whether a request may be sent to endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CrashAdmission {
    /// Neither the request nor a part of its prompt is quarantined.
    Admitted,
    /// A quarantine has expired, and the request is the trial of it.
    Trial(Quarantine),
    /// The request or a part is quarantined.
    Refused(Quarantine),
}

/// What a complete response changed for a request or part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Soundness {
    /// Little or nothing had spoken against it.
    Known,
    /// Endpoints had ended under it, too few for a quarantine.
    Cleared,
    /// Its quarantine is lifted.
    Released,
}

/// Records under which requests and prompt parts endpoints ended, and which are quarantined.
#[derive(Debug, Clone)]
pub(crate) struct CrashQuarantine {
    /// At most `MAX_PART_RECORDS`.
    parts: CrashRecords,
    /// At most `MAX_REQUEST_RECORDS`, of requests that endpoints ended under.
    requests: CrashRecords,
    answered: AnsweredRequests,
    /// At most `MAX_QUARANTINES` of requests, and as many of parts.
    held: FxHashMap<Cause, Held>,
    /// Endpoints that ended under a quarantined part, or in a trial, with the times at which that was recorded. Their ends
    /// say nothing about others. At most `MAX_EXPLAINED`.
    explained: FxHashMap<u64, Time>,
    /// When it is decided which suspect part is quarantined; `None` without one.
    verdict_at: Option<Time>,
    /// When what is out of date is dropped next.
    cleanup_at: Time,
}

impl Default for CrashQuarantine {
    fn default() -> Self {
        Self {
            parts: CrashRecords::new(Self::MAX_PART_RECORDS),
            requests: CrashRecords::new(Self::MAX_REQUEST_RECORDS),
            answered: AnsweredRequests::default(),
            held: FxHashMap::default(),
            explained: FxHashMap::default(),
            verdict_at: None,
            cleanup_at: Time::default(),
        }
    }
}

impl CrashQuarantine {
    /// Number of endpoints that have to end under a request until it is quarantined, or under a part if they had begun to
    /// respond; twice as many for a part if they had not. Two can have ended for reasons of their own: an endpoint takes
    /// what it has in flight with it, and a retry may meet the next one that ends.
    pub(crate) const ENDS: usize = 3;
    /// The same number for what was answered before.
    pub(crate) const ENDS_AFTER_SOUND: usize = 6;
    /// Number of ends from which all suspect parts are quarantined that nothing tells apart.
    const ENDS_WITHOUT_DOUBT: usize = 5;
    /// Time from the end that makes a part suspect to the verdict, in which sound parts are answered elsewhere.
    const VERDICT_DELAY: Duration = Duration::from_millis(250);
    /// The same for a front that learned of the end from another one, which announces its verdict first.
    const VERDICT_DELAY_OF_PEERS: Duration = Duration::from_millis(400);
    /// Endpoints that end within this time of each other count as one: a rack or a switch may have failed.
    pub(crate) const SEPARATION: Duration = Duration::from_millis(150);
    /// Maximum number of parts of one prompt that are considered, and of requests in one piece of news.
    pub(crate) const MAX_SUSPECTS: usize = 16;
    /// Maximum time that a trial may take before another request is one.
    const TRIAL_TIME: Duration = Duration::from_secs(5);
    /// Interval at which a quarantine is announced again, multiplied by the number of fronts: whatever their number, a
    /// front that has started hears of it within a second or two.
    const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(300);
    /// Age from which a record says nothing any more.
    const RECORD_TTL: Duration = Duration::from_secs(600);
    /// Time from which an expired quarantine says nothing any more.
    const QUARANTINE_TTL: Duration = Duration::from_secs(7_200);
    /// Maximum number of records of parts, about a megabyte.
    const MAX_PART_RECORDS: usize = 8_192;
    /// Maximum number of records of requests: what several dozen endpoints have in flight.
    const MAX_REQUEST_RECORDS: usize = 1_024;
    /// Maximum number of quarantines of requests, and of parts. Each costs several endpoints.
    const MAX_QUARANTINES: usize = 256;
    /// Maximum number of endpoints whose ends are explained.
    const MAX_EXPLAINED: usize = 4_096;
    /// Interval at which what is out of date is dropped.
    const CLEANUP_INTERVAL: Duration = Duration::from_secs(10);

    /// Returns the quarantine of the first of these causes that is quarantined.
    pub(crate) fn active(
        &self,
        now: Time,
        causes: impl IntoIterator<Item = Cause>,
    ) -> Option<Quarantine> {
        if self.held.is_empty() {
            return None;
        }
        let held = causes.into_iter().filter_map(|it| self.held.get(&it));
        held.map(|it| it.quarantine).find(|it| it.is_active(now))
    }

    /// Decides whether a request with these causes may be sent. `trial_of` is the one that it is a trial of.
    pub(crate) fn admit(
        &mut self,
        now: Time,
        causes: impl IntoIterator<Item = Cause>,
        trial_of: Option<Cause>,
    ) -> CrashAdmission {
        if self.held.is_empty() {
            return CrashAdmission::Admitted;
        }
        let others = causes.into_iter().filter(|it| Some(*it) != trial_of);
        let held: Vec<_> = others.filter_map(|it| self.held.get(&it)).copied().collect();
        if let Some(refused) = held.iter().find(|it| it.quarantine.is_active(now)) {
            return CrashAdmission::Refused(refused.quarantine);
        }
        let Some(expired) = held.first() else { return CrashAdmission::Admitted };
        let quarantine = Quarantine { until: now + Self::TRIAL_TIME, ..expired.quarantine };
        self.held.insert(quarantine.cause, Held { quarantine, on_trial: true, ..*expired });
        CrashAdmission::Trial(quarantine)
    }

    /// Records that an endpoint ended under these suspects. Returns the quarantines that follow at once: of requests, and
    /// longer ones of what was quarantined before.
    pub(crate) fn record_end(
        &mut self,
        now: Time,
        end: EndpointEnd,
        suspects: &[Suspect],
        by_peer: bool,
    ) -> Vec<Quarantine> {
        let suspects = &suspects[..suspects.len().min(Self::MAX_SUSPECTS)];
        if let Some(held) = suspects.iter().find_map(|it| self.held.get(&it.cause)).copied() {
            self.explain(now, &[end.endpoint]);
            return self.strike_again(now, held, end.at).into_iter().collect();
        }
        if self.explained.contains_key(&end.endpoint) {
            return Vec::new();
        }
        let mut verdicts = Vec::new();
        for (place, suspect) in suspects.iter().enumerate() {
            match suspect.cause {
                Cause::Part(_) => self.record_end_under_part(now, end, *suspect, place, by_peer),
                Cause::Request(_) => {
                    verdicts.extend(self.record_end_under_request(now, end, *suspect));
                }
            }
        }
        verdicts
    }

    fn record_end_under_part(
        &mut self,
        now: Time,
        end: EndpointEnd,
        suspect: Suspect,
        place: usize,
        by_peer: bool,
    ) {
        let record = self.parts.change(now, suspect.cause);
        record.was_sound |= suspect.was_sound;
        record.place = record.place.max(place);
        record.record_end(end);
        if record.is_suspect(suspect.cause) && self.verdict_at.is_none() {
            let delay = if by_peer { Self::VERDICT_DELAY_OF_PEERS } else { Self::VERDICT_DELAY };
            self.verdict_at = Some(now + delay);
        }
    }

    /// The verdict on a request isn't delayed: it concerns nothing else, and a service may be as small as four endpoints.
    fn record_end_under_request(
        &mut self,
        now: Time,
        end: EndpointEnd,
        suspect: Suspect,
    ) -> Option<Quarantine> {
        let answered_at = self.last_answer(suspect.cause);
        let record = self.requests.change(now, suspect.cause);
        record.was_sound |= suspect.was_sound || answered_at.is_some();
        record.sound_at = record.sound_at.max(answered_at);
        record.record_end(EndpointEnd { begun: true, ..end });
        if !record.is_suspect(suspect.cause) {
            return None;
        }
        let since = record.ends.iter().map(|it| it.at).max().unwrap_or(now);
        let quarantine = Quarantine::new(suspect.cause, now, since, 1);
        self.hold(now, quarantine);
        Some(quarantine)
    }

    /// Quarantines the parts that the ends of endpoints speak against most, if a verdict is due.
    pub(crate) fn decide(&mut self, now: Time) -> Vec<Quarantine> {
        if self.verdict_at.take_if(|it| *it <= now).is_none() {
            return Vec::new();
        }
        let mut verdicts = Vec::new();
        loop {
            let parts = self.suspects_to_quarantine();
            if parts.is_empty() {
                return verdicts;
            }
            let ends = parts.iter().filter_map(|it| self.parts.get(*it)).flat_map(|it| &it.ends);
            let since = ends.map(|it| it.at).max().unwrap_or(now);
            for part in parts {
                let quarantine = Quarantine::new(part, now, since, 1);
                self.hold(now, quarantine);
                verdicts.push(quarantine);
            }
        }
    }

    /// Returns those of these suspects that this front knows to have been sound while the one that lost an endpoint
    /// doesn't, with the times of their latest complete responses. Each is returned for its first end only.
    pub(crate) fn rebuttals(&self, suspects: &[Suspect]) -> Vec<(Cause, Time)> {
        let doubted = suspects.iter().filter(|it| !it.was_sound);
        let known =
            doubted.filter_map(|it| Some((it.cause, self.records(it.cause).get(it.cause)?)));
        let first = known.filter(|(_, it)| it.ends.len() == 1);
        first.filter_map(|(cause, it)| Some((cause, it.sound_at?))).collect()
    }

    /// Returns these causes with what is known about them.
    pub(crate) fn suspects(&self, causes: impl Iterator<Item = Cause>) -> Arc<[Suspect]> {
        let considered = causes.take(Self::MAX_SUSPECTS);
        considered.map(|cause| Suspect { cause, was_sound: self.was_sound(cause) }).collect()
    }

    fn was_sound(&self, cause: Cause) -> bool {
        let record = self.records(cause).get(cause);
        record.is_some_and(|it| it.was_sound) || self.last_answer(cause).is_some()
    }

    /// Returns when a request was last answered here; `None` for a part, whose record has it.
    fn last_answer(&self, cause: Cause) -> Option<Time> {
        match cause {
            Cause::Part(_) => None,
            Cause::Request(fingerprint) => self.answered.last(fingerprint),
        }
    }

    const fn records(&self, cause: Cause) -> &CrashRecords {
        match cause {
            Cause::Part(_) => &self.parts,
            Cause::Request(_) => &self.requests,
        }
    }

    /// Returns the part that the ends of endpoints speak against most; several if nothing tells them apart, and none as
    /// long as few ends speak against each of these.
    fn suspects_to_quarantine(&self) -> Vec<Cause> {
        let suspects = self.parts.iter().filter(|(part, it)| it.is_suspect(*part));
        // One request that came again explains its ends better than the parts that it shares with others.
        let common = suspects.filter(|(_, part)| !self.requests.iter().any(|it| it.1.covers(part)));
        let rated: Vec<_> = common.map(|(part, it)| (it.suspicion(), part)).collect();
        let Some(most) = rated.iter().map(|it| it.0).max() else { return Vec::new() };
        let mut parts: Vec<_> =
            rated.into_iter().filter(|it| it.0 == most).map(|it| it.1).collect();
        if parts.len() > 1 && most.1 < 2 * Self::ENDS_WITHOUT_DOUBT {
            return Vec::new();
        }
        parts.sort_unstable();
        parts
    }

    /// Prolongs the quarantine of what an endpoint ended under in a trial, or after it expired.
    fn strike_again(&mut self, now: Time, held: Held, at: Time) -> Option<Quarantine> {
        let quarantine = held.quarantine;
        if quarantine.is_active(now) && !held.on_trial {
            return None;
        }
        let longer = Quarantine::new(quarantine.cause, now, at, quarantine.strikes + 1);
        self.hold(now, longer);
        Some(longer)
    }

    /// Applies a quarantine, and takes its cause for that of the ends that spoke for it.
    fn hold(&mut self, now: Time, quarantine: Quarantine) {
        let cause = quarantine.cause;
        let record = self.records(cause).get(cause);
        let endpoints: Vec<_> =
            record.map_or(&[][..], |it| &it.ends).iter().map(|it| it.endpoint).collect();
        match cause {
            Cause::Part(_) => self.explain(now, &endpoints),
            // The ends of parts stay: requests that have a part in common may each end some.
            Cause::Request(_) => self.requests.drop_ends_of_others(cause, &endpoints),
        }
        self.make_room_for(cause);
        let next_announcement = now + Self::ANNOUNCEMENT_INTERVAL;
        let held = Held { quarantine, on_trial: false, next_announcement };
        self.held.insert(cause, held);
    }

    /// Drops the quarantine that ends first, if there are too many like that of `cause`.
    fn make_room_for(&mut self, cause: Cause) {
        let others = self.held.values().filter(|it| it.quarantine.cause.is_like(cause));
        if others.clone().count() < Self::MAX_QUARANTINES || self.held.contains_key(&cause) {
            return;
        }
        let first = others.min_by_key(|it| (it.quarantine.until, it.quarantine.cause));
        if let Some(first) = first.map(|it| it.quarantine.cause) {
            self.held.remove(&first);
        }
    }

    /// Drops the ends of these endpoints, whose cause is known, from all records.
    fn explain(&mut self, now: Time, endpoints: &[u64]) {
        self.parts.drop_ends(endpoints);
        self.requests.drop_ends(endpoints);
        if self.explained.len() + endpoints.len() > Self::MAX_EXPLAINED {
            self.explained.clear();
        }
        self.explained.extend(endpoints.iter().map(|it| (*it, now)));
    }

    /// Applies a quarantine that another front told of. Returns whether it is news.
    pub(crate) fn adopt(&mut self, now: Time, quarantine: Quarantine) -> bool {
        let cause = quarantine.cause;
        let record = self.records(cause).get(cause);
        let is_refuted = record.is_some_and(|it| it.is_sound_since(quarantine.since))
            || self.last_answer(cause).is_some_and(|it| it >= quarantine.since);
        let known = self.held.get(&cause).map(|it| it.quarantine);
        let is_known = known.is_some_and(|it| it.until >= quarantine.until);
        // The other front may never have seen a response that speaks for it.
        let weight = record.map_or(0, CrashRecord::weight);
        let is_doubtful =
            quarantine.strikes <= 1 && self.was_sound(cause) && weight < 2 * Self::ENDS;
        if is_refuted || is_known || is_doubtful || !quarantine.is_active(now) {
            return false;
        }
        self.hold(now, quarantine);
        known.is_none_or(|it| it.strikes < quarantine.strikes)
    }

    /// Records that a request, or one with this part, was answered completely.
    pub(crate) fn record_sound(&mut self, now: Time, cause: Cause, at: Time) -> Soundness {
        let has_fewer_ends = match cause {
            Cause::Part(_) => self.record_sound_part(now, cause, at),
            Cause::Request(fingerprint) => {
                self.answered.record(fingerprint, at);
                self.record_sound_request(now, cause, at)
            }
        };
        let is_refuted = self.held.get(&cause).is_some_and(|it| it.quarantine.since <= at);
        if is_refuted {
            self.held.remove(&cause);
            Soundness::Released
        } else if has_fewer_ends {
            Soundness::Cleared
        } else {
            Soundness::Known
        }
    }

    fn record_sound_part(&mut self, now: Time, part: Cause, at: Time) -> bool {
        self.parts.change(now, part).record_sound(at) > 0
    }

    /// Returns whether several ends are refuted. Nearly all requests are at one end at most, of which the other fronts
    /// needn't be told.
    fn record_sound_request(&mut self, now: Time, request: Cause, at: Time) -> bool {
        if self.requests.get(request).is_none() {
            return false;
        }
        let record = self.requests.change(now, request);
        let refuted = record.record_sound(at);
        if record.ends.is_empty() {
            self.requests.remove(request);
        }
        refuted > 1
    }

    /// Returns the quarantines that are to be announced again, and schedules their next announcements.
    pub(crate) fn due_announcements(&mut self, now: Time, fronts: usize) -> Vec<Quarantine> {
        let interval =
            Self::ANNOUNCEMENT_INTERVAL * u32::try_from(fronts.max(1)).unwrap_or(u32::MAX);
        // Fronts that learned of a quarantine together announce it at different times.
        let share = (xxh3_64(&now.as_micros().to_le_bytes()) % 1_000) as f64 / 1e3;
        let mut due = Vec::new();
        for held in self.held.values_mut() {
            if held.quarantine.is_active(now) && held.next_announcement <= now {
                held.next_announcement = now + interval.mul_f64(0.5 + share);
                due.push(held.quarantine);
            }
        }
        due.sort_unstable_by_key(|it| it.cause);
        due
    }

    /// Returns the quarantines that haven't expired, in no particular order.
    pub(crate) fn all_active(&self, now: Time) -> impl Iterator<Item = Quarantine> {
        self.held.values().map(|it| it.quarantine).filter(move |it| it.is_active(now))
    }

    /// Drops what is out of date.
    pub(crate) fn expire(&mut self, now: Time) {
        if now < self.cleanup_at {
            return;
        }
        self.cleanup_at = now + Self::CLEANUP_INTERVAL;
        self.parts.expire(now, Self::RECORD_TTL);
        self.requests.expire(now, Self::RECORD_TTL);
        self.held.retain(|_, it| now.since(it.quarantine.until) < Self::QUARANTINE_TTL);
        self.explained.retain(|_, at| now.since(*at) < Self::RECORD_TTL);
    }
}
