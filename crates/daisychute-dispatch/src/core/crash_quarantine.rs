//! Prompt parts under which engines end, and the quarantine of such parts.
//!
//! A prompt can end the engine that responds to it; with each retry and each further request like it, one engine after
//! the other. What such prompts have in common is a part. Each front tells the others under which prompts engines ended
//! ([`CrashNews`](crate::CrashNews)), so that all come to the same verdict after a few ends, wherever the requests arrive.

use std::sync::Arc;
use std::time::Duration;

use daisychute_core::Time;
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::core::crash_record::{EngineEnd, PartRecord};
use crate::{PromptPart, Quarantine, Suspect};

/// A quarantine, kept after it has expired until a trial has shown the part to be sound.
#[derive(Debug, Clone, Copy)]
struct Held {
    quarantine: Quarantine,
    /// Whether this front has sent a request as a trial, whose result isn't known.
    on_trial: bool,
    /// When this front announces the quarantine again.
    next_announcement: Time,
}

/// Whether a request with some parts may be sent to engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CrashAdmission {
    /// No part is quarantined.
    Admitted,
    /// The quarantine of a part has expired, and the request is the trial of it.
    Trial(Quarantine),
    /// A part is quarantined.
    Refused(Quarantine),
}

/// What a complete response changed for a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Soundness {
    /// Nothing had spoken against the part.
    Known,
    /// Engines had ended under it, too few for a quarantine.
    Cleared,
    /// Its quarantine is lifted.
    Released,
}

/// Records under which prompt parts engines ended, and which parts are quarantined.
#[derive(Debug, Default)]
pub(crate) struct CrashQuarantine {
    /// At most `MAX_RECORDS`, by the keys of the parts.
    records: FxHashMap<u64, PartRecord>,
    /// At most `MAX_QUARANTINES`, by the keys of the parts.
    held: FxHashMap<u64, Held>,
    /// Engines that ended under a quarantined part, with the times at which that was recorded. Their ends say nothing
    /// about other parts. At most `MAX_EXPLAINED`.
    explained: FxHashMap<u64, Time>,
    /// When it is decided which suspect is quarantined; `None` without one.
    verdict_at: Option<Time>,
    /// When what is out of date is dropped next.
    cleanup_at: Time,
}

impl CrashQuarantine {
    /// Number of engines that have to end under a part until it is quarantined, if they had begun to respond to it; twice
    /// as many if they had not. Two can have ended for reasons of their own: an engine takes what it has in flight with it,
    /// and a retry may meet the next one that ends.
    pub(crate) const ENDS: usize = 3;
    /// Number of ends from which all suspects are quarantined that nothing tells apart.
    const ENDS_WITHOUT_DOUBT: usize = 5;
    /// Time from the end that makes a part suspect to the verdict, in which sound parts are answered elsewhere.
    const VERDICT_DELAY: Duration = Duration::from_millis(250);
    /// The same for a front that learned of the end from another one, which announces its verdict first.
    const VERDICT_DELAY_OF_PEERS: Duration = Duration::from_millis(400);
    /// The same number for a part that was in use before without ending engines.
    pub(crate) const ENDS_AFTER_SOUND: usize = 6;
    /// Engines that end within this time of each other count as one: a rack or a switch may have failed.
    pub(crate) const SEPARATION: Duration = Duration::from_millis(150);
    /// Maximum number of parts of one prompt that are considered.
    pub(crate) const MAX_PARTS: usize = 16;
    /// Maximum time that a trial may take before another request is one.
    const TRIAL_TIME: Duration = Duration::from_secs(5);
    /// Interval at which a quarantine is announced again, multiplied by the number of fronts: whatever their number, a
    /// front that has started hears of it within a second or two.
    const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(300);
    /// Age from which a record says nothing any more.
    const RECORD_TTL: Duration = Duration::from_secs(600);
    /// Time from which an expired quarantine says nothing any more.
    const QUARANTINE_TTL: Duration = Duration::from_secs(7_200);
    /// Maximum number of records, about a megabyte.
    const MAX_RECORDS: usize = 8_192;
    /// Maximum number of quarantines. Each costs several engines.
    const MAX_QUARANTINES: usize = 256;
    /// Maximum number of engines whose ends are explained.
    const MAX_EXPLAINED: usize = 4_096;
    /// Interval at which what is out of date is dropped.
    const CLEANUP_INTERVAL: Duration = Duration::from_secs(10);

    /// Returns the quarantine of the first of these parts that is quarantined.
    pub(crate) fn active(&self, now: Time, parts: &[PromptPart]) -> Option<Quarantine> {
        if self.held.is_empty() {
            return None;
        }
        let held = parts.iter().filter_map(|it| self.held.get(&it.key));
        held.map(|it| it.quarantine).find(|it| it.is_active(now))
    }

    /// Decides whether a request with these shared parts may be sent. `trial_of` is the part that it is a trial of.
    pub(crate) fn admit(
        &mut self,
        now: Time,
        parts: &[PromptPart],
        trial_of: Option<u64>,
    ) -> CrashAdmission {
        if self.held.is_empty() {
            return CrashAdmission::Admitted;
        }
        let others = parts.iter().filter(|it| Some(it.key) != trial_of);
        let held: Vec<_> = others.filter_map(|it| self.held.get(&it.key)).copied().collect();
        if let Some(refused) = held.iter().find(|it| it.quarantine.is_active(now)) {
            return CrashAdmission::Refused(refused.quarantine);
        }
        let Some(expired) = held.first() else { return CrashAdmission::Admitted };
        let quarantine = Quarantine { until: now + Self::TRIAL_TIME, ..expired.quarantine };
        self.held.insert(quarantine.part, Held { quarantine, on_trial: true, ..*expired });
        CrashAdmission::Trial(quarantine)
    }

    /// Records that an engine ended under a request with these shared parts. Returns the longer quarantine that follows at
    /// once if one of them was quarantined before.
    pub(crate) fn record_end(
        &mut self,
        now: Time,
        end: EngineEnd,
        parts: &[Suspect],
        by_peer: bool,
    ) -> Option<Quarantine> {
        let parts = &parts[..parts.len().min(Self::MAX_PARTS)];
        if let Some(held) = parts.iter().find_map(|it| self.held.get(&it.key)).copied() {
            self.explain(now, &[end.engine]);
            return self.strike_again(now, held, end.at);
        }
        if self.explained.contains_key(&end.engine) {
            return None;
        }
        let mut has_suspect = false;
        for (place, part) in parts.iter().enumerate() {
            let record = self.record_mut(now, part.key);
            record.was_sound |= part.was_sound;
            record.place = record.place.max(place);
            record.record_end(end);
            has_suspect |= record.is_suspect();
        }
        if has_suspect && self.verdict_at.is_none() {
            let delay = if by_peer { Self::VERDICT_DELAY_OF_PEERS } else { Self::VERDICT_DELAY };
            self.verdict_at = Some(now + delay);
        }
        None
    }

    /// Quarantines the parts that the ends of engines speak against most, if a verdict is due.
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
            let ends = parts.iter().filter_map(|it| self.records.get(it)).flat_map(|it| &it.ends);
            let since = ends.map(|it| it.at).max().unwrap_or(now);
            for part in parts {
                let quarantine = Quarantine::new(part, now, since, 1);
                self.hold(now, quarantine);
                verdicts.push(quarantine);
            }
        }
    }

    /// Returns the parts of these that this front knows to have been sound while the one that lost an engine doesn't, with
    /// the times of their latest complete responses. Each is returned for its first end only.
    pub(crate) fn rebuttals(&self, parts: &[Suspect]) -> Vec<(u64, Time)> {
        let doubted = parts.iter().filter(|it| !it.was_sound);
        let known = doubted.filter_map(|it| Some((it.key, self.records.get(&it.key)?)));
        let first = known.filter(|(_, it)| it.ends.len() == 1);
        first.filter_map(|(part, it)| Some((part, it.sound_at?))).collect()
    }

    /// Returns these parts with what is known about them.
    pub(crate) fn suspects(&self, parts: &[PromptPart]) -> Arc<[Suspect]> {
        let was_sound = |part: u64| self.records.get(&part).is_some_and(|it| it.was_sound);
        let considered = parts.iter().take(Self::MAX_PARTS);
        considered.map(|it| Suspect { key: it.key, was_sound: was_sound(it.key) }).collect()
    }

    /// Returns the part that the ends of engines speak against most; several if nothing tells them apart, and none as long
    /// as few ends speak against each of these.
    fn suspects_to_quarantine(&self) -> Vec<u64> {
        let suspects = self.records.iter().filter(|it| it.1.is_suspect());
        let rated: Vec<_> = suspects.map(|(part, it)| (it.suspicion(), *part)).collect();
        let Some(most) = rated.iter().map(|it| it.0).max() else { return Vec::new() };
        let mut parts: Vec<_> =
            rated.into_iter().filter(|it| it.0 == most).map(|it| it.1).collect();
        if parts.len() > 1 && most.1 < 2 * Self::ENDS_WITHOUT_DOUBT {
            return Vec::new();
        }
        parts.sort_unstable();
        parts
    }

    /// Prolongs the quarantine of a part under which an engine ended in a trial, or after it expired.
    fn strike_again(&mut self, now: Time, held: Held, at: Time) -> Option<Quarantine> {
        let quarantine = held.quarantine;
        if quarantine.is_active(now) && !held.on_trial {
            return None;
        }
        let longer = Quarantine::new(quarantine.part, now, at, quarantine.strikes + 1);
        self.hold(now, longer);
        Some(longer)
    }

    /// Applies a quarantine, and takes it for the cause of the ends that spoke for it.
    fn hold(&mut self, now: Time, quarantine: Quarantine) {
        let ends = self.records.get_mut(&quarantine.part).map(|it| std::mem::take(&mut it.ends));
        let engines: Vec<_> = ends.unwrap_or_default().into_iter().map(|it| it.engine).collect();
        self.explain(now, &engines);
        if self.held.len() >= Self::MAX_QUARANTINES
            && let Some(first) = self.held.values().min_by_key(|it| it.quarantine.until)
        {
            let part = first.quarantine.part;
            self.held.remove(&part);
        }
        let next_announcement = now + Self::ANNOUNCEMENT_INTERVAL;
        let held = Held { quarantine, on_trial: false, next_announcement };
        self.held.insert(quarantine.part, held);
    }

    /// Drops the ends of these engines, whose cause is known, from all records.
    fn explain(&mut self, now: Time, engines: &[u64]) {
        for record in self.records.values_mut() {
            record.ends.retain(|it| !engines.contains(&it.engine));
        }
        if self.explained.len() + engines.len() > Self::MAX_EXPLAINED {
            self.explained.clear();
        }
        self.explained.extend(engines.iter().map(|it| (*it, now)));
    }

    /// Applies a quarantine that another front told of. Returns whether it is news.
    pub(crate) fn adopt(&mut self, now: Time, quarantine: Quarantine) -> bool {
        let record = self.records.get(&quarantine.part);
        let is_refuted = record.is_some_and(|it| it.is_sound_since(quarantine.since));
        let known = self.held.get(&quarantine.part).map(|it| it.quarantine);
        let is_known = known.is_some_and(|it| it.until >= quarantine.until);
        // The other front may never have seen a response that speaks for the part.
        let is_doubtful = quarantine.strikes <= 1
            && record.is_some_and(|it| it.was_sound && it.weight() < 2 * Self::ENDS);
        if is_refuted || is_known || is_doubtful || !quarantine.is_active(now) {
            return false;
        }
        self.hold(now, quarantine);
        known.is_none_or(|it| it.strikes < quarantine.strikes)
    }

    /// Records that a request with this part was answered completely.
    pub(crate) fn record_sound(&mut self, now: Time, part: u64, at: Time) -> Soundness {
        let record = self.record_mut(now, part);
        record.sound_at = record.sound_at.max(Some(at));
        record.was_sound = true;
        let before = record.ends.len();
        record.ends.retain(|it| it.at > at);
        let has_fewer_ends = record.ends.len() < before;
        let is_refuted = self.held.get(&part).is_some_and(|it| it.quarantine.since <= at);
        if is_refuted {
            self.held.remove(&part);
            Soundness::Released
        } else if has_fewer_ends {
            Soundness::Cleared
        } else {
            Soundness::Known
        }
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
        due.sort_unstable_by_key(|it| it.part);
        due
    }

    /// Returns the quarantines that haven't expired, in no particular order.
    pub(crate) fn all_active(&self, now: Time) -> impl Iterator<Item = Quarantine> {
        self.held.values().map(|it| it.quarantine).filter(move |it| it.is_active(now))
    }

    fn record_mut(&mut self, now: Time, part: u64) -> &mut PartRecord {
        if self.records.len() >= Self::MAX_RECORDS && !self.records.contains_key(&part) {
            self.make_room();
        }
        let record = self.records.entry(part).or_default();
        record.changed_at = now;
        record
    }

    /// Drops the records of parts that nothing speaks against; all records if something speaks against each.
    fn make_room(&mut self) {
        self.records.retain(|_, it| !it.ends.is_empty());
        if self.records.len() >= Self::MAX_RECORDS {
            self.records.clear();
        }
    }

    /// Drops what is out of date.
    pub(crate) fn expire(&mut self, now: Time) {
        if now < self.cleanup_at {
            return;
        }
        self.cleanup_at = now + Self::CLEANUP_INTERVAL;
        self.records.retain(|_, it| now.since(it.changed_at) < Self::RECORD_TTL);
        self.held.retain(|_, it| now.since(it.quarantine.until) < Self::QUARANTINE_TTL);
        self.explained.retain(|_, at| now.since(*at) < Self::RECORD_TTL);
    }
}
