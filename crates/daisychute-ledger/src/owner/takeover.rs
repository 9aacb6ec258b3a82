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
    Lapsing { until: Time, version: Version },
    /// An event was handled at or after `until`, so that every wall clock read since then is past the lease.
    Lapsed { version: Version },
    /// Its slots have been given away. Until `until` it must not hear that its lease was not revoked; then its lease is
    /// deleted.
    Done { until: Time, version: Version },
}

/// A lease as sweeps have found it.
#[derive(Debug, Clone, Copy)]
struct Swept {
    version: Version,
    since: Time,
    // Whether it was unchanged for longer than a lease may be.
    is_old: bool,
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
    lost: BTreeMap<OwnerId, Phase>,
    // The leases of the last sweep.
    swept: BTreeMap<OwnerId, Swept>,
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
            lost: BTreeMap::new(),
            swept: BTreeMap::new(),
            seq: 0,
        }
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Time, event: TakeoverEvent, out: &mut Vec<TakeoverAction>) {
        match event {
            TakeoverEvent::Tick => self.tick(now, out),
            TakeoverEvent::Members(members) => self.members = members,
            TakeoverEvent::Swept(leases) => self.sweep(now, leases),
            TakeoverEvent::Assigner(assigner) => self.assigner = assigner,
            TakeoverEvent::Suspect(owner) => {
                let phase = Phase::Suspected { version: None, since: now };
                let phase = self.lost.entry(owner).or_insert(phase);
                if let Phase::Done { version, .. } = *phase {
                    *phase = Phase::Lapsed { version };
                }
            }
            TakeoverEvent::AskGrant { owner, nonce } => self.ask_grant(owner, nonce, out),
            TakeoverEvent::Put { result: PutResult::Unclear, .. } => {}
            TakeoverEvent::Put { .. } => self.read_all(out),
            TakeoverEvent::Lease { owner, read } => self.lease_read(now, owner, read, out),
            TakeoverEvent::Table { wall, read } => self.table_read(now, wall, read, out),
        }
        self.lapse(now);
    }

    /// Owners whose slots this process is taking away.
    pub fn lost(&self) -> impl Iterator<Item = &OwnerId> {
        let open = self.lost.iter().filter(|(_, it)| !matches!(it, Phase::Done { .. }));
        open.map(|(owner, _)| owner)
    }

    fn tick(&mut self, now: Time, out: &mut Vec<TakeoverAction>) {
        self.lapse(now);
        self.forget_done(now, out);
        self.read_all(out);
        out.push(TakeoverAction::SetTimer(now + self.times.renew));
    }

    fn read_all(&self, out: &mut Vec<TakeoverAction>) {
        let open = |it: &Phase| matches!(it, Phase::Suspected { .. } | Phase::Revoking { .. });
        let unsettled = self.lost.iter().filter(|(_, phase)| open(phase));
        out.extend(unsettled.map(|(owner, _)| TakeoverAction::GetLease(owner.clone())));
        if self.assigner || self.lost.values().any(|it| matches!(it, Phase::Lapsed { .. })) {
            out.push(TakeoverAction::GetTable);
        }
    }

    fn lapse(&mut self, now: Time) {
        for phase in self.lost.values_mut() {
            if let Phase::Lapsing { until, version } = *phase
                && until <= now
            {
                *phase = Phase::Lapsed { version };
            }
        }
    }

    fn ask_grant(&mut self, owner: OwnerId, nonce: u64, out: &mut Vec<TakeoverAction>) {
        if matches!(self.lost.get(&owner), Some(Phase::Suspected { .. })) {
            self.lost.remove(&owner);
        }
        // A promise holds although a revocation may follow at once: nothing is given away before the lease has lapsed,
        // and a promise is no longer than a lease.
        let span = (!self.lost.contains_key(&owner)).then_some(self.times.grant);
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
            Phase::Lapsing { .. } | Phase::Lapsed { .. } | Phase::Done { .. } => {}
            _ if revoked => {
                let until = now + self.times.lease + self.times.margin;
                self.lost.insert(owner, Phase::Lapsing { until, version });
            }
            Phase::Suspected { version: Some(seen), .. } if seen != version => {
                self.lost.remove(&owner);
            }
            Phase::Suspected { version: seen, since } => {
                let since = if seen.is_some() { since } else { now };
                let phase = Phase::Suspected { version: Some(version), since };
                self.lost.insert(owner.clone(), phase);
                if self.may_revoke(now, lease.as_ref(), since) {
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

    fn may_revoke(&self, now: Time, lease: Option<&OwnerLease>, since: Time) -> bool {
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
        now: Time,
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
            self.finish(now);
            return;
        }
        if self.assigner || version != Version::ABSENT {
            let seq = self.next_seq();
            out.push(TakeoverAction::PutTable { seq, expect: version, table: changed });
        }
    }

    /// Notes that no slot is left to take over. An owner can't go on by promises longer than `orphan` after its last
    /// renewal, so that it need not be remembered for longer.
    fn finish(&mut self, now: Time) {
        let until = now + self.times.orphan;
        for phase in self.lost.values_mut() {
            if let Phase::Lapsed { version } = *phase {
                *phase = Phase::Done { until, version };
            }
        }
    }

    fn forget_done(&mut self, now: Time, out: &mut Vec<TakeoverAction>) {
        let forgotten = self.lost.extract_if(.., |_, phase| match phase {
            Phase::Done { until, .. } => *until <= now,
            _ => false,
        });
        for (owner, phase) in forgotten {
            if let Phase::Done { version: expect, .. } = phase {
                out.push(TakeoverAction::DeleteLease { owner, expect });
            }
        }
    }

    /// Finds the leases that nobody renews any more and that no takeover in progress deals with.
    ///
    /// One is revoked only if a later sweep than the one that found it old finds it unchanged, so that owners have the
    /// time to renew after an outage.
    fn sweep(&mut self, now: Time, leases: Vec<Stored<OwnerLease>>) {
        let orphan = self.times.orphan;
        let mut seen = BTreeMap::new();
        for Stored { version, body, .. } in leases {
            let OwnerLease { owner, revoked_by, .. } = body;
            if revoked_by.is_some() {
                let until = now + self.times.lease + self.times.margin;
                self.lost.entry(owner).or_insert(Phase::Lapsing { until, version });
                continue;
            }
            let before = self.swept.get(&owner).filter(|it| it.version == version);
            let mut swept = before.copied().unwrap_or(Swept { version, since: now, is_old: false });
            if swept.is_old {
                let phase = Phase::Suspected { version: Some(version), since: swept.since };
                self.lost.entry(owner.clone()).or_insert(phase);
            }
            swept.is_old = swept.since + orphan <= now;
            seen.insert(owner, swept);
        }
        self.swept = seen;
    }

    fn take_over(&self, wall: WallTime, table: &mut OwnerTable) {
        let staying = self.staying();
        let past = |it: &Phase| matches!(it, Phase::Lapsed { .. } | Phase::Done { .. });
        for (owner, _) in self.lost.iter().filter(|(_, it)| past(it)) {
            assign::take_over(table, owner, &staying, wall);
        }
    }

    fn staying(&self) -> Vec<OwnerId> {
        let lost = |it: &&OwnerId| self.lost.contains_key(*it);
        self.members.iter().filter(|it| !lost(it)).cloned().collect()
    }
}
