//! The lease of an owner as the owner itself sees it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use daisychute_core::Time;

use super::times::OwnerTimes;
use crate::{OwnerLease, ProcessId, Stored, Version};

#[derive(Debug)]
struct LeaseWrite {
    sent: Time,
    standbys: Vec<ProcessId>,
}

/// Works out until when the owner may admit calls.
///
/// A renewal that took effect counts from the moment it was sent. Beyond it, the owner may go on while every process
/// that could revoke the lease says that it has not.
#[derive(Debug)]
pub(super) struct LeaseHolder {
    pub(super) version: Version,
    // Invariant: the last confirmed write, if there is one, and all later ones. Earlier ones can't take effect any
    // more, because each write names the version that it replaces.
    writes: BTreeMap<u64, LeaseWrite>,
    confirmed: Option<u64>,
    grants: BTreeMap<ProcessId, Time>,
    asked: (u64, Time),
}

impl LeaseHolder {
    pub(super) const fn new() -> Self {
        Self {
            version: Version::ABSENT,
            writes: BTreeMap::new(),
            confirmed: None,
            grants: BTreeMap::new(),
            asked: (0, Time::ZERO),
        }
    }

    pub(super) fn sent(&mut self, seq: u64, now: Time, standbys: Vec<ProcessId>) {
        self.writes.insert(seq, LeaseWrite { sent: now, standbys });
    }

    pub(super) fn was_written(&self) -> bool {
        !self.writes.is_empty()
    }

    /// Notes that this write took effect and made this version.
    pub(super) fn confirm(&mut self, seq: u64, version: Version) {
        if version < self.version || !self.writes.contains_key(&seq) {
            return;
        }
        self.version = version;
        self.confirmed = Some(seq);
        self.writes = self.writes.split_off(&seq);
    }

    pub(super) fn read(&mut self, stored: &Stored<OwnerLease>) {
        self.confirm(stored.write.seq, stored.version);
    }

    /// When the last confirmed renewal was sent.
    pub(super) fn renewed_at(&self) -> Option<Time> {
        let seq = self.confirmed?;
        self.writes.get(&seq).map(|it| it.sent)
    }

    /// Every process that the stored lease may name.
    pub(super) fn standbys(&self) -> BTreeSet<ProcessId> {
        self.writes.values().flat_map(|it| it.standbys.iter().cloned()).collect()
    }

    pub(super) fn ask(&mut self, nonce: u64, now: Time) {
        self.asked = (nonce, now);
    }

    pub(super) fn grant(&mut self, by: ProcessId, nonce: u64, span: Option<Duration>) {
        let (asked, at) = self.asked;
        if nonce != asked {
            return;
        }
        match span {
            Some(span) => self.grants.insert(by, at + span),
            None => self.grants.remove(&by),
        };
    }

    /// The time before which the owner may admit calls.
    pub(super) fn valid_until(&self, times: &OwnerTimes) -> Option<Time> {
        let renewed = self.renewed_at()?;
        let leased = renewed + times.lease;
        let promised = self.promised_until().map(|it| it.min(renewed + times.orphan));
        Some(promised.map_or(leased, |it| it.max(leased)))
    }

    fn promised_until(&self) -> Option<Time> {
        let promise = |it| self.grants.get(it).copied().unwrap_or(Time::ZERO);
        self.standbys().iter().map(promise).min()
    }
}
