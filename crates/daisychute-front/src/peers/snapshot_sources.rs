//! Which peers have a later snapshot.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use daisychute_core::Time;

use crate::Position;

/// What a peer reported last.
#[derive(Debug, Clone, Copy)]
struct Reported {
    configuration: Position,
    endpoints: Position,
    at: Time,
}

/// The positions that peers have reported lately, by the addresses from which their snapshots are fetched.
///
/// ```
/// use daisychute_core::Time;
/// use daisychute_front::{Position, SnapshotSources};
///
/// let at = |revision| Position::new(0, revision);
/// let peer = "127.0.0.1:7000".parse().unwrap();
/// let mut sources = SnapshotSources::default();
/// sources.record(Time::ZERO, peer, (at(7), at(9)));
/// assert_eq!(sources.ahead_of(Time::ZERO, (at(6), at(9))), [peer]);
/// assert_eq!(sources.ahead_of(Time::ZERO, (at(7), at(9))), []);
/// ```
#[derive(Debug, Clone, Default)]
pub struct SnapshotSources {
    /// At most `MAX_SOURCES`, none older than `RETENTION` when the last one was added.
    reported: BTreeMap<SocketAddr, Reported>,
}

impl SnapshotSources {
    /// Time for which a report counts: a peer sends several heartbeats a second.
    pub const RETENTION: Duration = Duration::from_secs(3);
    /// Maximum number of peers; further ones don't count.
    const MAX_SOURCES: usize = 1_024;

    /// Records that the peer with this snapshot address has seen changes of configuration and endpoints up to these
    /// positions.
    pub fn record(
        &mut self,
        now: Time,
        address: SocketAddr,
        (configuration, endpoints): (Position, Position),
    ) {
        if self.reported.len() >= Self::MAX_SOURCES {
            self.reported.retain(|_, it| now.since(it.at) < Self::RETENTION);
        }
        if self.reported.len() < Self::MAX_SOURCES || self.reported.contains_key(&address) {
            self.reported.insert(address, Reported { configuration, endpoints, at: now });
        }
    }

    /// Returns the peers that have the latest configuration, if it is later than this one, or else all that have seen later
    /// changes of endpoints.
    #[must_use]
    pub fn ahead_of(
        &self,
        now: Time,
        (configuration, endpoints): (Position, Position),
    ) -> Vec<SocketAddr> {
        let recent = self.reported.iter().filter(|(_, it)| now.since(it.at) < Self::RETENTION);
        let latest = recent.clone().map(|(_, it)| it.configuration).max().unwrap_or_default();
        let is_ahead = |it: &Reported| {
            if latest > configuration {
                it.configuration == latest
            } else {
                it.endpoints > endpoints
            }
        };
        recent.filter(|(_, it)| is_ahead(it)).map(|(address, _)| *address).collect()
    }
}
