//! The authority of one agent over slots.

use std::collections::{BTreeMap, BTreeSet};

use daisychute_core::Time;

use super::lease_holder::LeaseHolder;
use super::times::OwnerTimes;
use crate::{
    CallKey, KeyOrigin, OwnerAction, OwnerEvent, OwnerId, OwnerLease, OwnerTable, ProcessId,
    PutResult, ReadResult, Slot, Standing, Version,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Write {
    Lease,
    Table,
}

/// Holds the lease of an agent, knows its slots and gives them up in order.
#[derive(Debug)]
pub struct OwnerCore {
    id: OwnerId,
    times: OwnerTimes,
    lease: LeaseHolder,
    standbys: Vec<ProcessId>,
    // Invariant: never replaced by one with a smaller version.
    table: Option<(Version, OwnerTable)>,
    // Invariant: slots that this owner no longer admits calls for, though the table may still name it.
    releasing: BTreeMap<Slot, OwnerId>,
    handed_over: BTreeSet<Slot>,
    // Invariant: at most one write of each kind; a write that is too old is given up as unclear.
    pending: BTreeMap<u64, (Write, Time)>,
    leaving: Option<Vec<OwnerId>>,
    // Invariant: an own write of the table can't take effect once a larger version than this was read.
    last_table_put: Version,
    next_renewal: Time,
    seq: u64,
}

impl OwnerCore {
    /// How many entries may revoke the lease of one owner.
    pub const STANDBYS: usize = 2;

    /// An agent that owns nothing yet.
    #[must_use]
    pub fn new(agent: ProcessId, times: OwnerTimes) -> Self {
        Self {
            id: OwnerId::first(agent),
            times,
            lease: LeaseHolder::new(),
            standbys: Vec::new(),
            table: None,
            releasing: BTreeMap::new(),
            handed_over: BTreeSet::new(),
            pending: BTreeMap::new(),
            leaving: None,
            last_table_put: Version::ABSENT,
            next_renewal: Time::ZERO,
            seq: 0,
        }
    }

    /// Who the agent is as an owner at present.
    #[must_use]
    pub const fn id(&self) -> &OwnerId {
        &self.id
    }

    /// What the agent may do at this time with a key that it has no record of.
    ///
    /// The shell reads the wall clock before the monotonic clock, so that a pause between the two can't make the wall
    /// clock pass the end of the lease.
    #[must_use]
    pub fn standing(&self, now: Time, key: &CallKey) -> Standing {
        let Some((_, table)) = &self.table else { return Standing::NotOwner };
        let slot = table.slot_of(key);
        let Some(it) = table.get(slot) else { return Standing::NotOwner };
        if it.owner.as_ref() != Some(&self.id) || self.releasing.contains_key(&slot) {
            return Standing::NotOwner;
        }
        match self.lease.valid_until(&self.times) {
            Some(until) if now < until => Standing::Owner { floor: it.floor },
            _ => Standing::Lapsed,
        }
    }

    /// Whether a key belongs to a slot.
    #[must_use]
    pub fn is_in(&self, slot: Slot, key: &CallKey) -> bool {
        let table = self.table.as_ref().map(|(_, table)| table);
        key.origin() == KeyOrigin::Caller && table.is_some_and(|it| it.slot_of(key) == slot)
    }

    /// Whether a slot is being handed over to this owner.
    #[must_use]
    pub fn is_releasing(&self, slot: Slot, to: &OwnerId) -> bool {
        self.releasing.get(&slot) == Some(to) && !self.handed_over.contains(&slot)
    }

    /// Whether no slot is left to hand over.
    #[must_use]
    pub fn has_no_slots(&self) -> bool {
        let table = self.table.as_ref().map(|(_, table)| table);
        table.is_none_or(|it| it.iter().all(|(_, it)| it.owner.as_ref() != Some(&self.id)))
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Time, event: OwnerEvent, out: &mut Vec<OwnerAction>) {
        match event {
            OwnerEvent::Tick => self.tick(now, out),
            OwnerEvent::Standbys(mut standbys) => {
                standbys.truncate(Self::STANDBYS);
                self.standbys = standbys;
            }
            OwnerEvent::Put { seq, result } => self.put_done(seq, result, out),
            OwnerEvent::Lease(read) => self.lease_read(read),
            OwnerEvent::Table(read) => self.table_read(now, read, out),
            OwnerEvent::Grant { by, nonce, span } => self.lease.grant(by, nonce, span),
            OwnerEvent::HandedOver { slot, to } => self.slot_handed_over(now, slot, &to, out),
            OwnerEvent::Leave { to } => {
                self.leaving = Some(to);
                self.release(out);
            }
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<OwnerAction>) {
        if now >= self.next_renewal {
            self.next_renewal = now + self.times.renew;
            self.renew(now, out);
        }
        out.push(OwnerAction::SetTimer(self.next_renewal));
    }

    fn renew(&mut self, now: Time, out: &mut Vec<OwnerAction>) {
        self.give_up_old_writes(now);
        let overdue = self.lease.renewed_at().is_some_and(|it| it + 2 * self.times.renew <= now);
        if overdue {
            self.ask_grants(now, out);
        }
        self.put_lease(now, out);
        out.push(OwnerAction::GetTable);
    }

    fn give_up_old_writes(&mut self, now: Time) {
        let renew = self.times.renew;
        self.pending.retain(|_, (_, sent)| now < *sent + renew);
    }

    fn ask_grants(&mut self, now: Time, out: &mut Vec<OwnerAction>) {
        let nonce = self.next_seq();
        self.lease.ask(nonce, now);
        let owner = self.id.clone();
        out.extend(self.lease.standbys().into_iter().map(|standby| OwnerAction::AskGrant {
            standby,
            owner: owner.clone(),
            nonce,
        }));
    }

    fn put_lease(&mut self, now: Time, out: &mut Vec<OwnerAction>) {
        let Some(seq) = self.begin(now, Write::Lease) else { return };
        self.lease.sent(seq, now, self.standbys.clone());
        let lease = OwnerLease {
            owner: self.id.clone(),
            standbys: self.standbys.clone(),
            revoked_by: None,
        };
        out.push(OwnerAction::PutLease { seq, expect: self.lease.version, lease });
    }

    fn begin(&mut self, now: Time, write: Write) -> Option<u64> {
        if self.pending.values().any(|(it, _)| *it == write) {
            return None;
        }
        let seq = self.next_seq();
        self.pending.insert(seq, (write, now));
        Some(seq)
    }

    fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    fn put_done(&mut self, seq: u64, result: PutResult, out: &mut Vec<OwnerAction>) {
        let Some((write, _)) = self.pending.remove(&seq) else { return };
        match (write, result) {
            (Write::Lease, PutResult::Done(version)) => self.lease.confirm(seq, version),
            (Write::Lease, _) => out.push(OwnerAction::GetLease(self.id.clone())),
            (Write::Table, PutResult::Unclear) => {}
            (Write::Table, _) => out.push(OwnerAction::GetTable),
        }
    }

    fn lease_read(&mut self, read: ReadResult<OwnerLease>) {
        match read {
            ReadResult::Failed => {}
            ReadResult::Absent if self.lease.was_written() => self.step_down(),
            ReadResult::Absent => {}
            ReadResult::Found(it) if it.body.owner != self.id => {}
            ReadResult::Found(it) if it.body.revoked_by.is_some() => self.step_down(),
            ReadResult::Found(it) => self.lease.read(&it),
        }
    }

    /// Goes on as an owner without slots under the next generation. Records are kept and still replayed.
    fn step_down(&mut self) {
        self.id = self.id.next();
        self.lease = LeaseHolder::new();
        self.pending.clear();
        self.releasing.clear();
        self.handed_over.clear();
    }

    fn table_read(&mut self, now: Time, read: ReadResult<OwnerTable>, out: &mut Vec<OwnerAction>) {
        let ReadResult::Found(it) = read else { return };
        if self.table.as_ref().is_some_and(|(version, _)| it.version < *version) {
            return;
        }
        self.table = Some((it.version, it.body));
        self.forget_releases();
        self.release(out);
        self.put_table(now, out);
    }

    /// Forgets the release of slots that have another owner by now, or that need not be released any more.
    fn forget_releases(&mut self) {
        let Some((version, table)) = &self.table else { return };
        let settled = *version > self.last_table_put;
        let id = &self.id;
        let leaving = self.leaving.is_some();
        self.releasing.retain(|slot, _| match table.get(*slot) {
            Some(it) if it.owner.as_ref() == Some(id) => leaving || it.next.is_some() || !settled,
            _ => false,
        });
        let releasing = &self.releasing;
        self.handed_over.retain(|slot| releasing.contains_key(slot));
    }

    fn release(&mut self, out: &mut Vec<OwnerAction>) {
        let Some((_, table)) = &self.table else { return };
        let mine = table.iter().filter(|(_, it)| it.owner.as_ref() == Some(&self.id));
        let wanted = mine.filter_map(|(slot, it)| {
            let to = it.next.as_ref().or_else(|| self.successor(slot))?;
            Some((slot, to.clone()))
        });
        let changed: Vec<_> =
            wanted.filter(|(slot, to)| self.releasing.get(slot) != Some(to)).collect();
        for (slot, to) in changed {
            self.handed_over.remove(&slot);
            self.releasing.insert(slot, to.clone());
            out.push(OwnerAction::Release { slot, to });
        }
    }

    fn successor(&self, slot: Slot) -> Option<&OwnerId> {
        let to = self.leaving.as_ref()?;
        to.get(slot.index() % to.len().max(1))
    }

    fn slot_handed_over(
        &mut self,
        now: Time,
        slot: Slot,
        to: &OwnerId,
        out: &mut Vec<OwnerAction>,
    ) {
        if self.releasing.get(&slot) == Some(to) {
            self.handed_over.insert(slot);
            self.put_table(now, out);
        }
    }

    /// Writes the change of owner of every slot whose records have been handed over.
    fn put_table(&mut self, now: Time, out: &mut Vec<OwnerAction>) {
        if self.handed_over.is_empty() {
            return;
        }
        let Some(seq) = self.begin(now, Write::Table) else { return };
        let Some((version, table)) = &self.table else { return };
        let mut changed = table.clone();
        for slot in &self.handed_over {
            if let Some(to) = self.releasing.get(slot) {
                changed.hand_over(*slot, to.clone());
            }
        }
        self.last_table_put = *version;
        out.push(OwnerAction::PutTable { seq, expect: *version, table: changed });
    }

    /// The last time at which the agent may admit calls, for status pages.
    #[must_use]
    pub fn valid_until(&self) -> Option<Time> {
        self.lease.valid_until(&self.times)
    }

    /// Writes of the lease or the table that have not been answered.
    #[must_use]
    pub fn pending_writes(&self) -> usize {
        self.pending.len()
    }
}
