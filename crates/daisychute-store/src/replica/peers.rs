//! Peers with a newer document, and the pull in flight.

use std::collections::BTreeMap;

use daisychute_core::{ProcessName, Revision, Time};

use super::{ReplicaAction, ReplicaSettings};

/// A pull that the peer must answer before `deadline`.
#[derive(Debug)]
struct PendingPull {
    peer: ProcessName,
    deadline: Time,
}

/// Peers that reported a higher revision than the one in force.
#[derive(Debug)]
pub(super) struct Peers {
    settings: ReplicaSettings,
    // Invariant: only revisions above the one in force.
    ahead: BTreeMap<ProcessName, Revision>,
    pending: Option<PendingPull>,
}

impl Peers {
    pub(super) fn new(settings: ReplicaSettings) -> Self {
        Self { settings, ahead: BTreeMap::new(), pending: None }
    }

    /// Records the revision that a peer reported; `have` is the one in force here.
    pub(super) fn record_revision(
        &mut self,
        peer: ProcessName,
        revision: Revision,
        have: Revision,
    ) {
        if revision > have {
            self.ahead.insert(peer, revision);
        } else {
            self.ahead.remove(&peer);
        }
    }

    /// Removes a disconnected peer and ends its pull.
    pub(super) fn remove(&mut self, peer: &ProcessName) {
        self.ahead.remove(peer);
        self.pull_answered(peer);
    }

    /// Ends the pull from a peer that sent its document. The peer is asked again only once it reports a higher
    /// revision.
    pub(super) fn pull_answered(&mut self, peer: &ProcessName) {
        self.pending.take_if(|it| it.peer == *peer);
    }

    /// Drops the peers that are no longer ahead, now that revision `have` is in force.
    pub(super) fn document_accepted(&mut self, have: Revision) {
        self.ahead.retain(|_, revision| *revision > have);
    }

    /// Drops a peer whose document was invalid or not newer, deadline it reports a revision again.
    pub(super) fn pull_useless(&mut self, peer: &ProcessName) {
        self.ahead.remove(peer);
    }

    /// Pulls from the peer with the highest revision, one at a time. A peer that exceeds the pull timeout is dropped.
    pub(super) fn tick(&mut self, now: Time, have: Revision, out: &mut Vec<ReplicaAction>) {
        if let Some(timed_out) = self.pending.take_if(|it| it.deadline <= now) {
            self.ahead.remove(&timed_out.peer);
        }
        if self.pending.is_none() {
            self.start_pull(now, have, out);
        }
        if let Some(pending) = &self.pending {
            out.push(ReplicaAction::WakeAt(pending.deadline));
        }
    }

    fn start_pull(&mut self, now: Time, have: Revision, out: &mut Vec<ReplicaAction>) {
        let most_advanced = self.ahead.iter().max_by_key(|(_, revision)| **revision);
        let Some((peer, _)) = most_advanced else { return };
        let deadline = now + self.settings.pull_timeout;
        out.push(ReplicaAction::Pull { peer: peer.clone(), have });
        self.pending = Some(PendingPull { peer: peer.clone(), deadline });
    }
}
