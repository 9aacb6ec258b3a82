//! The replica of a document that lives on the platform: the highest valid revision seen is in force.
//!
//! A few processes per data centre watch the platform. All others learn revisions from their peers and pull what
//! they lack from the one that is ahead, so that a document also spreads while the platform is down.

mod document;
mod event;
mod peers;
mod settings;
mod source;

use std::sync::Arc;

use bytes::Bytes;
use daisychute_core::{ProcessName, Revision, Time};

use self::peers::Peers;
use self::source::Source;
use crate::ResourceVersion;

pub use self::document::{ConfigurationDocument, DocumentError, ReplicatedDocument};
pub use self::event::{ReplicaAction, ReplicaEvent};
pub use self::settings::ReplicaSettings;

/// The document in force.
#[derive(Debug)]
struct Held<D> {
    revision: Revision,
    document: Arc<D>,
    body: Bytes,
}

/// Decision core of a replica.
#[derive(Debug)]
pub struct Replica<D> {
    // Invariant: its revision never falls, and the document passed its checks.
    held: Option<Held<D>>,
    source: Source,
    peers: Peers,
}

impl<D: ReplicatedDocument> Replica<D> {
    /// A replica that holds nothing yet. The seed sets its delays apart from those of other processes.
    #[must_use]
    pub fn new(settings: ReplicaSettings, seed: u64) -> Self {
        Self { held: None, source: Source::new(settings, seed), peers: Peers::new(settings) }
    }

    /// The revision in force; zero where there is none.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.held.as_ref().map_or(Revision::ZERO, |it| it.revision)
    }

    /// The document in force.
    #[must_use]
    pub fn document(&self) -> Option<Arc<D>> {
        self.held.as_ref().map(|it| Arc::clone(&it.document))
    }

    /// Takes one event.
    pub fn handle(&mut self, now: Time, event: ReplicaEvent, out: &mut Vec<ReplicaAction>) {
        match event {
            ReplicaEvent::Watcher(watcher) => self.source.set_watcher(now, watcher, out),
            ReplicaEvent::Listed { version, body } => self.listed(now, version, body, out),
            ReplicaEvent::ListFailed => self.source.list_failed(now, self.held.is_some()),
            ReplicaEvent::Changed { body } => self.changed(body, out),
            ReplicaEvent::WatchAlive => self.source.watch_alive(),
            ReplicaEvent::WatchEnded => self.source.watch_ended(now),
            ReplicaEvent::PeerRevision { peer, revision } => {
                self.peers.shown(peer, revision, self.revision());
            }
            ReplicaEvent::PeerDisconnected { peer } => self.peers.gone(&peer),
            ReplicaEvent::PullFrom { peer, have } => self.pulled(peer, have, out),
            ReplicaEvent::Document { peer, body } => self.received(now, &peer, body, out),
            ReplicaEvent::Tick => {}
        }
        self.peers.tick(now, self.revision(), out);
        self.source.tick(now, out);
    }

    fn listed(
        &mut self,
        now: Time,
        version: ResourceVersion,
        body: Option<Bytes>,
        out: &mut Vec<ReplicaAction>,
    ) {
        if let Some(body) = body {
            self.offer(body, out);
        }
        self.source.listed(now, version, out);
    }

    fn changed(&mut self, body: Bytes, out: &mut Vec<ReplicaAction>) {
        self.source.watch_alive();
        self.offer(body, out);
    }

    fn received(
        &mut self,
        now: Time,
        peer: &ProcessName,
        body: Bytes,
        out: &mut Vec<ReplicaAction>,
    ) {
        self.peers.answered(peer);
        if self.offer(body, out) {
            self.source.served_by_peer(now);
        } else {
            self.peers.refused(peer);
        }
    }

    fn pulled(&self, peer: ProcessName, have: Revision, out: &mut Vec<ReplicaAction>) {
        let Some(held) = self.held.as_ref().filter(|it| it.revision > have) else { return };
        out.push(ReplicaAction::Send { peer, revision: held.revision, body: held.body.clone() });
    }

    /// Puts a document in force if it is valid and newer. Returns whether it was.
    fn offer(&mut self, body: Bytes, out: &mut Vec<ReplicaAction>) -> bool {
        let (revision, document) = match D::read(&body) {
            Ok(read) => read,
            Err(error) => {
                out.push(ReplicaAction::Rejected { error });
                return false;
            }
        };
        if revision <= self.revision() {
            return false;
        }
        self.held = Some(Held { revision, document: Arc::new(document), body });
        self.peers.accepted(revision);
        out.push(ReplicaAction::Accepted { revision });
        true
    }
}
