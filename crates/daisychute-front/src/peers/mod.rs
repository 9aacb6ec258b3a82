//! What fronts tell each other.
//!
//! Each front sends every other one a [`PeerHeartbeat`](peer_heartbeat::PeerHeartbeat) several times a second: its work
//! at each endpoint, and the parts of prompts that it sent lately. A heartbeat is one datagram: it is out of date a
//! moment later, so that a lost one is better replaced by the next than sent again.

pub(crate) mod peer_heartbeat;
pub(crate) mod snapshot;
pub(crate) mod snapshots;
pub(crate) mod heartbeats;

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use daisychute_core::{EndpointName, Time};
use daisychute_dispatch::PromptPart;
use tokio::sync::Notify;

/// A front that wasn't heard for so long doesn't count any more.
const SILENT: Duration = Duration::from_secs(10);
/// A part is told this many times, since datagrams get lost.
const REPEATS: u32 = 3;
/// Parts told at once; more than a front sends between two heartbeats.
const MOST_PARTS: usize = 24;

#[derive(Debug, Clone, Copy)]
struct Peer {
    address: SocketAddr,
    // When it was listed or heard last.
    seen: Time,
}

/// The fronts that the directory lists, and what they are to be told.
#[derive(Debug)]
pub(crate) struct Peers {
    own: SocketAddr,
    listed: RefCell<BTreeMap<String, Peer>>,
    // Parts with the heartbeats that still tell them.
    placed: RefCell<VecDeque<(EndpointName, PromptPart, u32)>>,
    news: Notify,
}

impl Peers {
    /// No peers yet, for the front that listens at `own`.
    pub(crate) fn new(own: SocketAddr) -> Self {
        Self { own, listed: RefCell::default(), placed: RefCell::default(), news: Notify::new() }
    }

    /// A front is listed, or not any more.
    pub(crate) fn listed(&self, now: Time, name: String, address: Option<SocketAddr>) {
        let mut listed = self.listed.borrow_mut();
        match address {
            Some(address) => listed.insert(name, Peer { address, seen: now }),
            None => listed.remove(&name),
        };
    }

    /// A front was heard.
    pub(crate) fn heard(&self, now: Time, from: SocketAddr) {
        let mut listed = self.listed.borrow_mut();
        if let Some(peer) = listed.values_mut().find(|it| it.address == from) {
            peer.seen = now;
        }
    }

    /// The addresses of all others.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let listed = self.listed.borrow();
        listed.values().map(|it| it.address).filter(|it| *it != self.own).collect()
    }

    /// The fronts that share the load, this one included.
    pub(crate) fn count(&self, now: Time) -> usize {
        let listed = self.listed.borrow();
        let live = |it: &&Peer| it.address != self.own && now.since(it.seen) < SILENT;
        1 + listed.values().filter(live).count()
    }

    /// An endpoint has a shared part of a prompt now.
    pub(crate) fn announce_cached_part(&self, endpoint: EndpointName, part: PromptPart) {
        let mut placed = self.placed.borrow_mut();
        placed.push_back((endpoint, part, REPEATS));
        if placed.len() > MOST_PARTS * REPEATS as usize {
            placed.pop_front();
        }
    }

    /// The next heartbeat is urgent.
    pub(crate) fn request_heartbeat(&self) {
        self.news.notify_one();
    }

    /// Returns when a heartbeat is urgent that hasn't been sent.
    pub(crate) async fn heartbeat_requested(&self) {
        self.news.notified().await;
    }

    /// The parts that the next heartbeat tells.
    pub(crate) fn take_parts(&self) -> Vec<(EndpointName, PromptPart)> {
        let mut placed = self.placed.borrow_mut();
        let mut told = Vec::new();
        for (endpoint, part, left) in placed.iter_mut().take(MOST_PARTS) {
            told.push((endpoint.clone(), *part));
            *left -= 1;
        }
        placed.retain(|it| it.2 > 0);
        told
    }
}
