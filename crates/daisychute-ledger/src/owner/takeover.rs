//! Taking slots away from an owner that is lost, and promising not to.

use std::collections::BTreeMap;

use daisychute_core::Time;

use super::assign;
use super::times::OwnerTimes;
use crate::{
    OwnerId, OwnerLease, OwnerTable, ProcessId, PutResult, ReadResult, Stored, TakeoverAction,
    TakeoverEvent, Version, WallTime,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Its lease is being read, and nothing has been written. `version` was first seen at `since`.
    Suspected { version: Option<Version>, since: Time },
    /// A revocation that replaces `version` has been sent and may take effect at any time.
    Revoking { version: Version },
    /// The lease is revoked, and the owner admits nothing from `until` on.
    Lapsing { until: Time },
    /// An event was handled at or after `until`, so that every wall clock read since then is past the lease.
    Lapsed,
}

/// Takes over the slots of lost owners, and assigns slots that have none. Lives in an entry.
///
/// Any number of them may work on the same service: the conditional updates of leases and table settle every race.
#[derive(Debug)]
pub struct TakeoverCore {
    me: ProcessId,
    times: OwnerTimes,
    slots: u16,
    members: Vec<OwnerId>,
    assigner: bool,
    // Invariant: no owner in here is revoked by this process before its time.
    promised: BTreeMap<OwnerId, Time>,
    lost: BTreeMap<OwnerId, Phase>,
    seq: u64,
}

impl TakeoverCore {
    /// A process that suspects nobody. `slots` is the size of a table that it creates.
    #[must_use]
    pub const fn new(me: ProcessId, times: OwnerTimes, slots: u16) -> Self {
        Self {
            me,
            times,
            slots,
            members: Vec::new(),
            assigner: false,
            promised: BTreeMap::new(),
            lost: BTreeMap::new(),
            seq: 0,
        }
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Time, event: TakeoverEvent, out: &mut Vec<TakeoverAction>) {
        match event {
            TakeoverEvent::Tick => self.tick(now, out),
            TakeoverEvent::Members(members) => self.members = members,
            TakeoverEvent::Assigner(assigner) => self.assigner = assigner,
            TakeoverEvent::Suspect(owner) => {
                let phase = Phase::Suspected { version: None, since: now };
                self.lost.entry(owner).or_insert(phase);
            }
            TakeoverEvent::AskGrant { owner, nonce } => self.ask_grant(now, owner, nonce, out),
            TakeoverEvent::Put { result: PutResult::Unclear, .. } => {}
            TakeoverEvent::Put { .. } => self.read_all(out),
            TakeoverEvent::Lease { owner, read } => self.lease_read(now, owner, read, out),
            TakeoverEvent::Table { wall, read } => self.table_read(wall, read, out),
        }
        self.lapse(now);
    }

    /// Owners whose slots this process is taking away.
    pub fn lost(&self) -> impl Iterator<Item = &OwnerId> {
        self.lost.keys()
    }

    fn tick(&mut self, now: Time, out: &mut Vec<TakeoverAction>) {
        self.promised.retain(|_, until| now < *until);
        self.lapse(now);
        self.read_all(out);
        out.push(TakeoverAction::SetTimer(now + self.times.renew));
    }

    fn read_all(&self, out: &mut Vec<TakeoverAction>) {
        let open = |it: &Phase| matches!(it, Phase::Suspected { .. } | Phase::Revoking { .. });
        let unsettled = self.lost.iter().filter(|(_, phase)| open(phase));
        out.extend(unsettled.map(|(owner, _)| TakeoverAction::GetLease(owner.clone())));
        if self.assigner || self.lost.values().any(|it| *it == Phase::Lapsed) {
            out.push(TakeoverAction::GetTable);
        }
    }

    fn lapse(&mut self, now: Time) {
        for phase in self.lost.values_mut() {
            if matches!(phase, Phase::Lapsing { until } if *until <= now) {
                *phase = Phase::Lapsed;
            }
        }
    }

    fn ask_grant(&mut self, now: Time, owner: OwnerId, nonce: u64, out: &mut Vec<TakeoverAction>) {
        if matches!(self.lost.get(&owner), Some(Phase::Suspected { .. })) {
            self.lost.remove(&owner);
        }
        let span = (!self.lost.contains_key(&owner)).then_some(self.times.grant);
        if let Some(span) = span {
            self.promised.insert(owner.clone(), now + span);
        }
        out.push(TakeoverAction::Grant { owner, nonce, span });
    }

    fn lease_read(
        &mut self,
        now: Time,
        owner: OwnerId,
        read: ReadResult<OwnerLease>,
        out: &mut Vec<TakeoverAction>,
    ) {
        let (version, lease) = match read {
            ReadResult::Failed => return,
            ReadResult::Found(Stored { version, body, .. }) => (version, Some(body)),
            ReadResult::Absent => (Version::ABSENT, None),
        };
        let Some(phase) = self.lost.get(&owner).copied() else { return };
        let revoked = lease.as_ref().is_some_and(|it| it.revoked_by.is_some());
        match phase {
            Phase::Lapsing { .. } | Phase::Lapsed => {}
            _ if revoked => {
                let until = now + self.times.lease + self.times.margin;
                self.lost.insert(owner, Phase::Lapsing { until });
            }
            Phase::Suspected { version: Some(seen), .. } if seen != version => {
                self.lost.remove(&owner);
            }
            Phase::Suspected { version: seen, since } => {
                let since = if seen.is_some() { since } else { now };
                let phase = Phase::Suspected { version: Some(version), since };
                self.lost.insert(owner.clone(), phase);
                if self.may_revoke(now, &owner, lease.as_ref(), since) {
                    self.revoke(owner, version, lease, out);
                }
            }
            Phase::Revoking { version: replaced } if replaced != version => {
                // The revocation can no longer take effect: the owner has renewed its lease.
                self.lost.remove(&owner);
            }
            Phase::Revoking { .. } => self.revoke(owner, version, lease, out),
        }
    }

    fn may_revoke(
        &self,
        now: Time,
        owner: &OwnerId,
        lease: Option<&OwnerLease>,
        since: Time,
    ) -> bool {
        if self.promised.get(owner).is_some_and(|until| now < *until) {
            return false;
        }
        let named = lease.is_none_or(|it| it.standbys.contains(&self.me));
        named || now >= since + self.times.orphan
    }

    fn revoke(
        &mut self,
        owner: OwnerId,
        version: Version,
        lease: Option<OwnerLease>,
        out: &mut Vec<TakeoverAction>,
    ) {
        let standbys = lease.map_or_else(Vec::new, |it| it.standbys);
        let lease =
            OwnerLease { owner: owner.clone(), standbys, revoked_by: Some(self.me.clone()) };
        let seq = self.next_seq();
        out.push(TakeoverAction::PutLease { seq, expect: version, lease });
        self.lost.insert(owner, Phase::Revoking { version });
    }

    fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    fn table_read(
        &mut self,
        wall: WallTime,
        read: ReadResult<OwnerTable>,
        out: &mut Vec<TakeoverAction>,
    ) {
        let (version, table) = match read {
            ReadResult::Failed => return,
            ReadResult::Found(it) => (it.version, it.body),
            ReadResult::Absent => (Version::ABSENT, OwnerTable::new(self.slots)),
        };
        let mut changed = table.clone();
        self.take_over(wall, &mut changed);
        if self.assigner {
            assign::fill(&mut changed, &self.staying());
        }
        if changed == table {
            self.lost.retain(|_, phase| *phase != Phase::Lapsed);
            return;
        }
        if self.assigner || version != Version::ABSENT {
            let seq = self.next_seq();
            out.push(TakeoverAction::PutTable { seq, expect: version, table: changed });
        }
    }

    fn take_over(&self, wall: WallTime, table: &mut OwnerTable) {
        let staying = self.staying();
        for (owner, _) in self.lost.iter().filter(|(_, it)| **it == Phase::Lapsed) {
            assign::take_over(table, owner, &staying, wall);
        }
    }

    fn staying(&self) -> Vec<OwnerId> {
        let lost = |it: &&OwnerId| self.lost.contains_key(*it);
        self.members.iter().filter(|it| !lost(it)).cloned().collect()
    }
}
