//! Heartbeats and snapshots between fronts.
//!
//! Each front sends a [`PeerHeartbeat`](peer_heartbeat::PeerHeartbeat) to every other one several times a second: its
//! load at each endpoint, and the prompt parts that endpoints now cache. A heartbeat is one datagram. A lost one isn't
//! sent again: it would be outdated a moment later, the next one has newer loads, and each part is announced in several
//! heartbeats.

pub(crate) mod peer_heartbeat;
pub(crate) mod snapshot;
pub(crate) mod snapshots;
pub(crate) mod heartbeats;

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use daisychute_core::{EndpointName, Time};
use daisychute_dispatch::{Incarnation, PromptPart, StreamOrigin};
use tokio::sync::Notify;

/// A front without a heartbeat for this long isn't counted any more.
const PEER_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of heartbeats that announce a cached prompt part, since datagrams get lost.
const ANNOUNCEMENTS_PER_PART: u32 = 3;
/// Maximum number of prompt parts in one heartbeat, more than a front sends between two heartbeats.
const MAX_PARTS_PER_HEARTBEAT: usize = 24;

/// Number of heartbeats that announce a leaving endpoint. More than for a cached part: a front that misses it learns it by
/// a request that the endpoint has to serve.
const ANNOUNCEMENTS_PER_LEAVING: u32 = 8;
/// Maximum number of leaving endpoints in one heartbeat, so that it fits into its datagram beside the loads.
const MAX_LEAVING_PER_HEARTBEAT: usize = 8;
/// Maximum number of leaving endpoints that wait to be announced.
const MAX_LEAVING_QUEUED: usize = 256;

/// Number of heartbeats that announce where a stream began.
const ANNOUNCEMENTS_PER_ORIGIN: u32 = 3;
/// Maximum number of origins in one heartbeat, more than a front begins streams between two heartbeats.
const MAX_ORIGINS_PER_HEARTBEAT: usize = 96;
/// Maximum number of origins that wait to be announced.
const MAX_ORIGINS_QUEUED: usize = 1_024;

#[derive(Debug, Clone, Copy)]
struct Peer {
    address: SocketAddr,
    // When its record was last updated or its last heartbeat arrived.
    last_seen: Time,
}

/// The registered fronts, and the prompt parts to announce to them.
#[derive(Debug)]
pub(crate) struct Peers {
    own_address: SocketAddr,
    records: RefCell<BTreeMap<String, Peer>>,
    // Cached parts by endpoint, with the number of heartbeats that still announce them.
    announcements: RefCell<VecDeque<(EndpointName, PromptPart, u32)>>,
    // Leaving endpoints, with the number of heartbeats that still announce them.
    leaving: RefCell<VecDeque<(Incarnation, u32)>>,
    // Origins of streams, with the number of heartbeats that still announce them.
    origins: RefCell<VecDeque<(StreamOrigin, u32)>>,
    early_heartbeat: Notify,
    urgent_heartbeat: Notify,
}

impl Peers {
    /// Creates an empty set of peers for the front that receives heartbeats at `own_address`.
    pub(crate) fn new(own_address: SocketAddr) -> Self {
        Self {
            own_address,
            records: RefCell::default(),
            announcements: RefCell::default(),
            leaving: RefCell::default(),
            origins: RefCell::default(),
            early_heartbeat: Notify::new(),
            urgent_heartbeat: Notify::new(),
        }
    }

    /// Adds or changes the record of a front, or removes it if `address` is `None`.
    pub(crate) fn update(&self, now: Time, name: String, address: Option<SocketAddr>) {
        let mut records = self.records.borrow_mut();
        match address {
            Some(address) => records.insert(name, Peer { address, last_seen: now }),
            None => records.remove(&name),
        };
    }

    /// Records that a heartbeat arrived from this address.
    pub(crate) fn record_heartbeat(&self, now: Time, from: SocketAddr) {
        let mut records = self.records.borrow_mut();
        if let Some(peer) = records.values_mut().find(|it| it.address == from) {
            peer.last_seen = now;
        }
    }

    /// Returns the addresses of all other registered fronts.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let records = self.records.borrow();
        records.values().map(|it| it.address).filter(|it| *it != self.own_address).collect()
    }

    /// Returns the number of live fronts, this one included.
    pub(crate) fn count(&self, now: Time) -> usize {
        let records = self.records.borrow();
        let live =
            |it: &&Peer| it.address != self.own_address && now.since(it.last_seen) < PEER_TIMEOUT;
        1 + records.values().filter(live).count()
    }

    /// Queues the announcement that an endpoint now caches a prompt part.
    pub(crate) fn announce_cached_part(&self, endpoint: EndpointName, part: PromptPart) {
        let mut announcements = self.announcements.borrow_mut();
        announcements.push_back((endpoint, part, ANNOUNCEMENTS_PER_PART));
        if announcements.len() > MAX_PARTS_PER_HEARTBEAT * ANNOUNCEMENTS_PER_PART as usize {
            announcements.pop_front();
        }
    }

    /// Queues the announcement that an endpoint is leaving.
    pub(crate) fn announce_leaving(&self, endpoint: Incarnation) {
        let mut leaving = self.leaving.borrow_mut();
        leaving.push_back((endpoint, ANNOUNCEMENTS_PER_LEAVING));
        if leaving.len() > MAX_LEAVING_QUEUED {
            leaving.pop_front();
        }
    }

    /// Returns the leaving endpoints that the next heartbeat announces, and counts this announcement.
    pub(crate) fn take_leaving(&self) -> Vec<Incarnation> {
        let mut leaving = self.leaving.borrow_mut();
        let count = leaving.len().min(MAX_LEAVING_PER_HEARTBEAT);
        let announced: Vec<_> = leaving.drain(..count).collect();
        // Those that are announced again go to the end of the queue, so that all get their turn.
        let again = announced.iter().filter(|it| it.1 > 1);
        leaving.extend(again.map(|(endpoint, left)| (endpoint.clone(), left - 1)));
        announced.into_iter().map(|(endpoint, _)| endpoint).collect()
    }

    /// Queues the announcement of where a stream began. With `at_once` it doesn't wait for the next heartbeat.
    pub(crate) fn announce_origin(&self, origin: StreamOrigin, at_once: bool) {
        if at_once {
            self.urgent_heartbeat.notify_one();
        }
        let mut origins = self.origins.borrow_mut();
        // The latest come first: their streams are the ones that still run.
        origins.push_front((origin, ANNOUNCEMENTS_PER_ORIGIN));
        origins.truncate(MAX_ORIGINS_QUEUED);
    }

    /// Returns the origins that the next heartbeat announces, and counts this announcement.
    pub(crate) fn take_origins(&self) -> Vec<StreamOrigin> {
        let mut origins = self.origins.borrow_mut();
        let mut announced = Vec::new();
        for (origin, announcements_left) in origins.iter_mut().take(MAX_ORIGINS_PER_HEARTBEAT) {
            announced.push(origin.clone());
            *announcements_left -= 1;
        }
        origins.retain(|it| it.1 > 0);
        announced
    }

    /// Requests that the next heartbeat is sent early.
    pub(crate) fn request_heartbeat(&self) {
        self.early_heartbeat.notify_one();
    }

    /// Waits until an early heartbeat is requested. A request made before the call counts.
    pub(crate) async fn heartbeat_requested(&self) {
        self.early_heartbeat.notified().await;
    }

    /// Waits until a heartbeat is needed at once. A request made before the call counts.
    pub(crate) async fn urgent_heartbeat_requested(&self) {
        self.urgent_heartbeat.notified().await;
    }

    /// Returns the parts that the next heartbeat announces, and counts this announcement.
    pub(crate) fn take_parts(&self) -> Vec<(EndpointName, PromptPart)> {
        let mut announcements = self.announcements.borrow_mut();
        let mut announced = Vec::new();
        for (endpoint, part, announcements_left) in
            announcements.iter_mut().take(MAX_PARTS_PER_HEARTBEAT)
        {
            announced.push((endpoint.clone(), *part));
            *announcements_left -= 1;
        }
        announcements.retain(|it| it.2 > 0);
        announced
    }
}
