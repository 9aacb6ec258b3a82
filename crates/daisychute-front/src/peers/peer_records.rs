//! Which other fronts there are.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use daisychute_core::Time;
use daisychute_dispatch::FrontPosition;

/// A front that the directory lists.
#[derive(Debug, Clone, Copy)]
struct Registered {
    address: SocketAddr,
    /// When it was first listed at this address, or its last heartbeat arrived.
    last_seen: Time,
}

/// The other fronts that the directory lists, and those that send heartbeats without being listed here.
///
/// A front that is cut off can't tell whether the others still serve, so a listed one counts for long after its last
/// heartbeat: what all fronts share out among themselves must not be taken more than once.
#[derive(Debug, Clone)]
pub struct PeerRecords {
    own_address: SocketAddr,
    registered: BTreeMap<String, Registered>,
    /// When the last heartbeat of a front arrived that isn't in `registered`; at most `MAX_UNLISTED`.
    unlisted: BTreeMap<SocketAddr, Time>,
    /// Whether the directory has listed the fronts since the start.
    is_listed: bool,
}

impl PeerRecords {
    /// Time for which a listed front counts after its last heartbeat, longer than cuts usually last. Records of fronts
    /// that were removed for good stay in the directory.
    pub const RETENTION: Duration = Duration::from_secs(600);
    /// Time for which an unlisted front counts after its last heartbeat.
    pub const UNLISTED_RETENTION: Duration = Duration::from_secs(10);
    /// Maximum number of unlisted fronts; further ones don't count.
    const MAX_UNLISTED: usize = 1_024;

    /// Creates the records of the front that sends and receives heartbeats at `own_address`.
    #[must_use]
    pub const fn new(own_address: SocketAddr) -> Self {
        Self {
            own_address,
            registered: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            is_listed: false,
        }
    }

    /// Records that the directory has listed the fronts.
    pub const fn record_listing(&mut self) {
        self.is_listed = true;
    }

    /// Adds or changes the record of a front, or removes it if `address` is `None`. Returns whether it is the first record
    /// of another front.
    pub fn update(&mut self, now: Time, name: String, address: Option<SocketAddr>) -> bool {
        let had_peers = self.registered.len() > 1;
        let Some(address) = address else {
            self.registered.remove(&name);
            return false;
        };
        let heard_at = self.unlisted.remove(&address);
        let known = self.registered.get(&name).filter(|it| it.address == address);
        let last_seen = heard_at.or(known.map(|it| it.last_seen)).unwrap_or(now);
        self.registered.insert(name, Registered { address, last_seen });
        !had_peers && self.registered.len() > 1
    }

    /// Records that a heartbeat arrived from this address.
    pub fn record_heartbeat(&mut self, now: Time, from: SocketAddr) {
        if from == self.own_address {
            return;
        }
        let mut listed = self.registered.values_mut().filter(|it| it.address == from).peekable();
        if listed.peek().is_some() {
            listed.for_each(|it| it.last_seen = now);
            return;
        }
        self.unlisted.retain(|_, at| now.since(*at) < Self::UNLISTED_RETENTION);
        if self.unlisted.len() < Self::MAX_UNLISTED || self.unlisted.contains_key(&from) {
            self.unlisted.insert(from, now);
        }
    }

    /// Returns the addresses of all other fronts that are listed or were heard lately.
    #[must_use]
    pub fn addresses(&self, now: Time) -> Vec<SocketAddr> {
        let listed = self.registered.values().map(|it| it.address);
        listed.chain(self.heard(now)).filter(|it| *it != self.own_address).collect()
    }

    /// Returns the place of this front among all that may serve, in the order of their addresses.
    #[must_use]
    pub fn position(&self, now: Time) -> FrontPosition {
        let listed = self.registered.values();
        let listed = listed.filter(|it| now.since(it.last_seen) < Self::RETENTION);
        let others = listed.map(|it| it.address).chain(self.heard(now));
        let (mut count, mut rank) = (1, 0);
        for address in others.filter(|it| *it != self.own_address) {
            count += 1;
            rank += usize::from(address < self.own_address);
        }
        FrontPosition { is_complete: self.is_listed, ..FrontPosition::new(count, rank) }
    }

    fn heard(&self, now: Time) -> impl Iterator<Item = SocketAddr> {
        let recent = self.unlisted.iter();
        let recent = recent.filter(move |(_, at)| now.since(**at) < Self::UNLISTED_RETENTION);
        recent.map(|(address, _)| *address)
    }
}
