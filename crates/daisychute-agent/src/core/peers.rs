//! The entries that are connected to this agent.

use std::collections::BTreeMap;

use daisychute_core::{Incarnation, Time};
use daisychute_link::LinkId;

/// The entries that are or lately were connected.
#[derive(Debug, Clone, Default)]
pub struct Peers {
    /// The newest connection of each entry, or since when it has none.
    by_incarnation: BTreeMap<Incarnation, Result<LinkId, Time>>,
    // Invariant: holds every link in `by_incarnation`, and older ones that are still open.
    by_link: BTreeMap<LinkId, Incarnation>,
}

impl Peers {
    /// A connection of `peer` is up. It replaces an earlier one.
    pub fn up(&mut self, link: LinkId, peer: Incarnation) {
        self.by_incarnation.insert(peer, Ok(link));
        self.by_link.insert(link, peer);
    }

    /// A connection is down. Returns the entry that has no connection now.
    pub fn down(&mut self, now: Time, link: LinkId) -> Option<Incarnation> {
        let peer = self.by_link.remove(&link)?;
        if self.by_incarnation.get(&peer) != Some(&Ok(link)) {
            return None;
        }
        self.by_incarnation.insert(peer, Err(now));
        Some(peer)
    }

    /// The entry at the other end of a connection.
    #[must_use]
    pub fn of_link(&self, link: LinkId) -> Option<Incarnation> {
        self.by_link.get(&link).copied()
    }

    /// The newest connection of an entry.
    #[must_use]
    pub fn link(&self, peer: Incarnation) -> Option<LinkId> {
        self.by_incarnation.get(&peer).copied()?.ok()
    }

    /// All newest connections.
    pub fn links(&self) -> impl Iterator<Item = LinkId> {
        self.by_incarnation.values().filter_map(|it| it.ok())
    }

    /// When the first of the lost entries was lost.
    #[must_use]
    pub fn first_lost(&self) -> Option<Time> {
        self.by_incarnation.values().filter_map(|it| it.err()).min()
    }

    /// Removes and returns an entry that was lost at or before `until`.
    pub fn take_lost(&mut self, until: Time) -> Option<Incarnation> {
        let found = self.by_incarnation.iter().find(|(_, it)| it.is_err_and(|at| at <= until));
        let peer = *found?.0;
        self.by_incarnation.remove(&peer);
        Some(peer)
    }
}
