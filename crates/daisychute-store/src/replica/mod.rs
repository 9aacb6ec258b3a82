//! Replica of a document that is stored on the platform. The highest valid revision received so far is in force.
//!
//! A few processes per data centre watch the platform. All others learn of revisions from their peers and pull a newer
//! document from the peer with the highest revision, so a document also spreads while the platform is unavailable.

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

/// The document in force, with the text that is sent to peers.
#[derive(Debug)]
struct CurrentDocument<D> {
    revision: Revision,
    document: Arc<D>,
    body: Bytes,
}

/// Sans-I/O core of a replica.
#[derive(Debug)]
pub struct Replica<D> {
    // Invariant: its revision never decreases, and the document passed its checks.
    current: Option<CurrentDocument<D>>,
    source: Source,
    peers: Peers,
}

impl<D: ReplicatedDocument> Replica<D> {
    /// A replica without a document. `seed` seeds the jitter and should differ between processes.
    #[must_use]
    pub fn new(settings: ReplicaSettings, seed: u64) -> Self {
        Self { current: None, source: Source::new(settings, seed), peers: Peers::new(settings) }
    }

    /// Revision of the document in force; zero if there is none.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.current.as_ref().map_or(Revision::ZERO, |it| it.revision)
    }

    /// The document in force; `None` before the first valid one was received.
    #[must_use]
    pub fn document(&self) -> Option<Arc<D>> {
        self.current.as_ref().map(|it| Arc::clone(&it.document))
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: ReplicaEvent, out: &mut Vec<ReplicaAction>) {
        match event {
            ReplicaEvent::Watcher(watcher) => self.source.set_watcher(now, watcher, out),
            ReplicaEvent::Listed { version, body } => self.handle_list(now, version, body, out),
            ReplicaEvent::ListFailed => self.source.list_failed(now, self.current.is_some()),
            ReplicaEvent::Changed { body } => self.handle_change(body, out),
            ReplicaEvent::WatchAlive => self.source.watch_alive(),
            ReplicaEvent::WatchEnded => self.source.watch_ended(now),
            ReplicaEvent::PeerRevision { peer, revision } => {
                self.peers.record_revision(peer, revision, self.revision());
            }
            ReplicaEvent::PeerDisconnected { peer } => self.peers.remove(&peer),
            ReplicaEvent::PullFrom { peer, have } => self.handle_pull(peer, have, out),
            ReplicaEvent::Document { peer, body } => self.handle_document(now, &peer, body, out),
            ReplicaEvent::Tick => {}
        }
        self.peers.tick(now, self.revision(), out);
        self.source.tick(now, out);
    }

    fn handle_list(
        &mut self,
        now: Time,
        version: ResourceVersion,
        body: Option<Bytes>,
        out: &mut Vec<ReplicaAction>,
    ) {
        if let Some(body) = body {
            self.apply_if_newer(body, out);
        }
        self.source.listed(now, version, out);
    }

    fn handle_change(&mut self, body: Bytes, out: &mut Vec<ReplicaAction>) {
        self.source.watch_alive();
        self.apply_if_newer(body, out);
    }

    fn handle_document(
        &mut self,
        now: Time,
        peer: &ProcessName,
        body: Bytes,
        out: &mut Vec<ReplicaAction>,
    ) {
        self.peers.pull_answered(peer);
        if self.apply_if_newer(body, out) {
            self.source.served_by_peer(now);
        } else {
            self.peers.pull_useless(peer);
        }
    }

    fn handle_pull(&self, peer: ProcessName, have: Revision, out: &mut Vec<ReplicaAction>) {
        let Some(current) = self.current.as_ref().filter(|it| it.revision > have) else { return };
        out.push(ReplicaAction::Send {
            peer,
            revision: current.revision,
            body: current.body.clone(),
        });
    }

    /// Puts a document in force if it is valid and newer than the current one. Returns whether it did.
    fn apply_if_newer(&mut self, body: Bytes, out: &mut Vec<ReplicaAction>) -> bool {
        let (revision, document) = match D::parse(&body) {
            Ok(parsed) => parsed,
            Err(error) => {
                out.push(ReplicaAction::Rejected { error });
                return false;
            }
        };
        if revision <= self.revision() {
            return false;
        }
        self.current = Some(CurrentDocument { revision, document: Arc::new(document), body });
        self.peers.document_accepted(revision);
        out.push(ReplicaAction::Accepted { revision });
        true
    }
}
