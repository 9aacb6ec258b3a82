//! Peers that are ahead of a replica, and the one that was asked for the document.

use std::collections::BTreeMap;

use daisychute_core::{ProcessName, Revision, Time};

use super::{ReplicaAction, ReplicaSettings};

#[derive(Debug)]
struct Asked {
    peer: ProcessName,
    until: Time,
}

/// The peers that showed a higher revision.
#[derive(Debug)]
pub(super) struct Peers {
    settings: ReplicaSettings,
    // Invariant: only revisions above the one in force.
    ahead: BTreeMap<ProcessName, Revision>,
    asked: Option<Asked>,
}

impl Peers {
    pub(super) fn new(settings: ReplicaSettings) -> Self {
        Self { settings, ahead: BTreeMap::new(), asked: None }
    }

    pub(super) fn shown(&mut self, peer: ProcessName, revision: Revision, have: Revision) {
        if revision > have {
            self.ahead.insert(peer, revision);
        } else {
            self.ahead.remove(&peer);
        }
    }

    pub(super) fn gone(&mut self, peer: &ProcessName) {
        self.ahead.remove(peer);
        self.answered(peer);
    }

    /// The peer sent its document. It is asked again only when it shows a still higher revision.
    pub(super) fn answered(&mut self, peer: &ProcessName) {
        self.asked.take_if(|it| it.peer == *peer);
    }

    /// The document in force is now of this revision.
    pub(super) fn accepted(&mut self, have: Revision) {
        self.ahead.retain(|_, revision| *revision > have);
    }

    /// Forgets a peer whose document was of no use.
    pub(super) fn refused(&mut self, peer: &ProcessName) {
        self.ahead.remove(peer);
    }

    /// Asks the peer that is furthest ahead, one at a time.
    pub(super) fn tick(&mut self, now: Time, have: Revision, out: &mut Vec<ReplicaAction>) {
        if let Some(late) = self.asked.take_if(|it| it.until <= now) {
            self.ahead.remove(&late.peer);
        }
        if self.asked.is_none() {
            self.ask(now, have, out);
        }
        if let Some(asked) = &self.asked {
            out.push(ReplicaAction::WakeAt(asked.until));
        }
    }

    fn ask(&mut self, now: Time, have: Revision, out: &mut Vec<ReplicaAction>) {
        let furthest = self.ahead.iter().max_by_key(|(_, revision)| **revision);
        let Some((peer, _)) = furthest else { return };
        let until = now + self.settings.pull_deadline;
        out.push(ReplicaAction::Pull { peer: peer.clone(), have });
        self.asked = Some(Asked { peer: peer.clone(), until });
    }
}
