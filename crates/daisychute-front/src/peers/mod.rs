//! Heartbeats and snapshots between fronts.
//!
//! Each front sends a [`PeerHeartbeat`](peer_heartbeat::PeerHeartbeat) to every other one several times a second: its
//! load at each endpoint, and news. A heartbeat is one datagram. A lost one isn't sent again: it would be outdated a
//! moment later, the next one has newer loads, and news are repeated ([`Announcements`]).

pub(crate) mod announcements;
pub(crate) mod crash_reports;
pub(crate) mod limit_report;
pub(crate) mod peer_heartbeat;
pub(crate) mod peer_records;
pub(crate) mod snapshot;
pub(crate) mod snapshot_sources;
pub(crate) mod snapshots;
pub(crate) mod heartbeats;

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use daisychute_core::{EndpointName, Time};
use daisychute_dispatch::{
    CrashNews, FrontPosition, Incarnation, LimitNews, PromptPart, StreamOrigin,
};
use tokio::sync::Notify;

use crate::{AnnouncementPolicy, Announcements, PeerRecords, SnapshotSources};

/// Time without a heartbeat after which none is expected: each peer sends several a second.
const ALONE_TIME: Duration = Duration::from_secs(2);
/// Maximum number of incarnations of other fronts that are remembered. Beyond it, all count as new once more.
const MAX_INCARNATIONS: usize = 4_096;
/// Announcements of cached prompt parts: at most as many in a heartbeat as a front sends between two.
const CACHED_PARTS: AnnouncementPolicy = AnnouncementPolicy {
    repetitions: 3,
    per_heartbeat: 24,
    capacity: 72,
    ttl: Duration::from_secs(5),
};
/// Announcements of leaving endpoints. They are repeated more often than others: a front that misses them learns it by a
/// request that the endpoint has to serve.
const LEAVING: AnnouncementPolicy = AnnouncementPolicy {
    repetitions: 8,
    per_heartbeat: 8,
    capacity: 256,
    ttl: Duration::from_secs(30),
};
/// Announcements of where streams began: at most as many in a heartbeat as a front begins streams between two.
const ORIGINS: AnnouncementPolicy = AnnouncementPolicy {
    repetitions: 3,
    per_heartbeat: 96,
    capacity: 1_024,
    ttl: Duration::from_secs(5),
};
/// Questions where streams began. Their clients wait for the answer.
const WANTED_ORIGINS: AnnouncementPolicy = AnnouncementPolicy {
    repetitions: 2,
    per_heartbeat: 32,
    capacity: 1_024,
    ttl: Duration::from_millis(400),
};

/// Announcements of what was learned about prompt parts. A lost one costs endpoints.
const PART_NEWS: AnnouncementPolicy = AnnouncementPolicy {
    repetitions: 4,
    per_heartbeat: 6,
    capacity: 128,
    ttl: Duration::from_secs(10),
};

/// Announcements of what was learned about requests. An endpoint takes with it as many as it has slots, nearly all of which
/// never come again; they have a queue of their own, so that they crowd out no other news.
const REQUEST_NEWS: AnnouncementPolicy = AnnouncementPolicy {
    repetitions: 4,
    per_heartbeat: 16,
    capacity: 128,
    ttl: Duration::from_secs(10),
};

/// Announcements of limits that endpoints name.
const LIMITS: AnnouncementPolicy = AnnouncementPolicy {
    repetitions: 6,
    per_heartbeat: 12,
    capacity: 256,
    ttl: Duration::from_secs(10),
};

/// The other fronts, and the news to announce to them.
#[derive(Debug)]
pub(crate) struct Peers {
    records: RefCell<PeerRecords>,
    /// What peers have reported, by the addresses of their snapshots.
    pub(crate) snapshot_sources: RefCell<SnapshotSources>,
    /// When the last heartbeat arrived; zero before the first one.
    heard_at: Cell<Time>,
    /// Prompt parts that endpoints cache.
    pub(crate) cached_parts: RefCell<Announcements<(EndpointName, PromptPart)>>,
    /// Endpoints that are leaving.
    pub(crate) leaving: RefCell<Announcements<Incarnation>>,
    /// Where streams began.
    pub(crate) origins: RefCell<Announcements<StreamOrigin>>,
    /// Streams, by their first attempts, of which this front asks where they began.
    pub(crate) wanted_origins: RefCell<Announcements<u64>>,
    /// What was learned about prompt parts under which endpoints end.
    pub(crate) part_news: RefCell<Announcements<CrashNews>>,
    /// What was learned about requests under which endpoints end.
    pub(crate) request_news: RefCell<Announcements<CrashNews>>,
    /// Limits that endpoints name.
    pub(crate) limits: RefCell<Announcements<LimitNews>>,
    /// Incarnations of which a heartbeat arrived; at most `MAX_INCARNATIONS`.
    incarnations: RefCell<BTreeSet<u64>>,
    early_heartbeat: Notify,
    urgent_heartbeat: Notify,
}

impl Peers {
    /// Creates an empty set of peers for the front that receives heartbeats at `own_address`.
    pub(crate) fn new(own_address: SocketAddr) -> Self {
        Self {
            records: RefCell::new(PeerRecords::new(own_address)),
            snapshot_sources: RefCell::default(),
            heard_at: Cell::new(Time::ZERO),
            cached_parts: RefCell::new(Announcements::new(CACHED_PARTS)),
            leaving: RefCell::new(Announcements::new(LEAVING)),
            origins: RefCell::new(Announcements::new(ORIGINS)),
            wanted_origins: RefCell::new(Announcements::new(WANTED_ORIGINS)),
            part_news: RefCell::new(Announcements::new(PART_NEWS)),
            request_news: RefCell::new(Announcements::new(REQUEST_NEWS)),
            limits: RefCell::new(Announcements::new(LIMITS)),
            incarnations: RefCell::default(),
            early_heartbeat: Notify::new(),
            urgent_heartbeat: Notify::new(),
        }
    }

    /// Adds or changes the record of a front, or removes it if `address` is `None`.
    pub(crate) fn update(&self, now: Time, name: String, address: Option<SocketAddr>) {
        let is_first = self.records.borrow_mut().update(now, name, address);
        // A front that has just started asks its peers for what it missed, by a heartbeat.
        if is_first {
            self.urgent_heartbeat.notify_one();
        }
    }

    /// Records that the directory has listed the fronts.
    pub(crate) fn record_listing(&self) {
        self.records.borrow_mut().record_listing();
    }

    /// Records that a heartbeat of this incarnation arrived. Returns whether it is the first one.
    pub(crate) fn record_incarnation(&self, incarnation: u64) -> bool {
        let mut incarnations = self.incarnations.borrow_mut();
        if incarnations.len() >= MAX_INCARNATIONS {
            incarnations.clear();
        }
        incarnations.insert(incarnation)
    }

    /// Records that a heartbeat arrived from this address.
    pub(crate) fn record_heartbeat(&self, now: Time, from: SocketAddr) {
        self.heard_at.set(now);
        self.records.borrow_mut().record_heartbeat(now, from);
    }

    /// Whether no heartbeat has arrived lately, so that this front doesn't hear of changes that it lacks.
    pub(crate) fn is_alone(&self, now: Time) -> bool {
        now.since(self.heard_at.get()) > ALONE_TIME
    }

    /// Returns the addresses of all other fronts that are known.
    pub(crate) fn addresses(&self, now: Time) -> Vec<SocketAddr> {
        self.records.borrow().addresses(now)
    }

    /// Returns the number of fronts that may serve, this one included.
    pub(crate) fn count(&self, now: Time) -> usize {
        self.position(now).count
    }

    /// Returns the place of this front among all that may serve.
    pub(crate) fn position(&self, now: Time) -> FrontPosition {
        self.records.borrow().position(now)
    }

    /// Requests that the next heartbeat is sent early.
    pub(crate) fn request_heartbeat(&self) {
        self.early_heartbeat.notify_one();
    }

    /// Requests that the next heartbeat is sent at once.
    pub(crate) fn request_urgent_heartbeat(&self) {
        self.urgent_heartbeat.notify_one();
    }

    /// Waits until an early heartbeat is requested. A request made before the call counts.
    pub(crate) async fn heartbeat_requested(&self) {
        self.early_heartbeat.notified().await;
    }

    /// Waits until a heartbeat is needed at once. A request made before the call counts.
    pub(crate) async fn urgent_heartbeat_requested(&self) {
        self.urgent_heartbeat.notified().await;
    }
}
