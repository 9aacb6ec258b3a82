//! A stand-in for the platform: its object API and its weight store.

mod api;
mod api_error;
mod faults;
mod object;
mod rate;
mod seen;
mod store;
mod watch;
mod weights;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use tokio::sync::Notify;

pub use self::faults::Faults;
pub use self::object::{API_VERSION, Metadata, Object};
use self::rate::RateLimit;
pub use self::seen::{CallsByKind, Seen};
use self::store::Store;
use crate::StandinError;
use crate::http::{ByteCount, Server};

/// Kind of the objects that list the instances.
pub const INSTANCES: &str = "instances";

/// Configuration of the platform.
#[derive(Debug, Clone)]
pub struct PlatformConfig {
    /// Number of past changes that a new watch can replay.
    pub history: usize,
    /// Interval between the bookmarks of an idle watch.
    pub bookmark_interval: Duration,
    /// Delay before a change of the list of instances is visible.
    pub instances_lag: Duration,
    /// Maximum number of reads per second, watches included; `None` for no limit.
    pub read_rate: Option<u32>,
    /// Maximum number of writes per second; `None` for no limit.
    pub write_rate: Option<u32>,
    /// Maximum number of concurrent downloads from the weight store; others are refused.
    pub weight_loads: u32,
    /// Duration of one download from the weight store.
    pub weight_time: Duration,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        Self {
            history: 10_000,
            bookmark_interval: Duration::from_secs(2),
            instances_lag: Duration::ZERO,
            read_rate: None,
            write_rate: None,
            weight_loads: 4,
            weight_time: Duration::ZERO,
        }
    }
}

/// State shared by the API and the watches.
#[derive(Debug)]
struct State {
    config: PlatformConfig,
    store: RefCell<Store>,
    /// Snapshot that gets and lists return while the fault `stale_reads` is on.
    stale: RefCell<Option<Store>>,
    reads: RefCell<RateLimit>,
    writes: RefCell<RateLimit>,
    /// Number of downloads from the weight store in progress.
    running_weight_loads: Cell<u32>,
    faults: Cell<Faults>,
    /// Number of times that the fault `silent_watches` was switched on. A change silences the watches that are open.
    silences: Cell<u64>,
    seen: RefCell<Seen>,
    /// Notified of every change of an object or a fault.
    changed: Notify,
    bytes: ByteCount,
}

/// A running platform. Dropping it stops the platform.
#[derive(Debug)]
pub struct Platform {
    server: Server,
    state: Rc<State>,
}

impl Platform {
    /// Listens on `addr`; port 0 takes any free one.
    ///
    /// # Errors
    ///
    /// The listening socket can't be bound.
    pub async fn start(addr: SocketAddr, config: PlatformConfig) -> Result<Self, StandinError> {
        let state = Rc::new(State {
            store: RefCell::new(Store::new(config.history)),
            reads: RefCell::new(RateLimit::new(config.read_rate)),
            writes: RefCell::new(RateLimit::new(config.write_rate)),
            running_weight_loads: Cell::default(),
            config,
            stale: RefCell::default(),
            faults: Cell::default(),
            silences: Cell::default(),
            seen: RefCell::default(),
            changed: Notify::new(),
            bytes: ByteCount::default(),
        });
        let handler = Rc::new(api::Api { state: Rc::clone(&state) });
        let server = Server::start(addr, handler, state.bytes.clone()).await?;
        Ok(Self { server, state })
    }

    /// Address on which the platform listens.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Replaces all injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state.set_faults(faults);
    }

    /// Counters since the platform started.
    #[must_use]
    pub fn seen(&self) -> Seen {
        self.state.seen()
    }

    /// Stores a record in the list of instances. It is visible after the configured lag.
    pub fn put_instance(&self, name: &str, record: Value) {
        self.state.put_instance_after_lag(name, record);
    }

    /// Removes a record from the list of instances. It is visible until the configured lag has passed.
    pub fn remove_instance(&self, name: &str) {
        self.state.remove_instance_after_lag(name);
    }

    /// Creates or replaces an object at once.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.state.upsert(kind, Object::new(kind, name, spec));
    }

    /// Returns the current version of an object, regardless of faults.
    #[must_use]
    pub fn get(&self, kind: &str, name: &str) -> Option<Object> {
        self.state.store.borrow().get(kind, name).ok().map(|it| Object::clone(&it))
    }

    /// Deletes an object at once, regardless of its version.
    pub fn remove(&self, kind: &str, name: &str) {
        self.state.remove(kind, name);
    }

    /// Drops the change log, so that watches from earlier versions are refused as expired.
    pub fn compact(&self) {
        self.state.compact();
    }
}

impl State {
    fn set_faults(&self, faults: Faults) {
        let previous = self.faults.replace(faults);
        if faults.silent_watches && !previous.silent_watches {
            self.silences.update(|it| it + 1);
        }
        if faults.stale_reads != previous.stale_reads {
            let snapshot = faults.stale_reads.then(|| self.store.borrow().clone());
            *self.stale.borrow_mut() = snapshot;
        }
        self.changed.notify_waiters();
    }

    fn seen(&self) -> Seen {
        let mut seen = self.seen.borrow().clone();
        seen.bytes_in = self.bytes.read();
        seen.bytes_out = self.bytes.written();
        seen.version = self.store.borrow().version();
        seen
    }

    fn upsert(&self, kind: &str, object: Object) {
        self.store.borrow_mut().upsert(kind, object);
        self.changed.notify_waiters();
    }

    fn remove(&self, kind: &str, name: &str) {
        self.store.borrow_mut().remove(kind, name);
        self.changed.notify_waiters();
    }

    fn put_instance_after_lag(self: &Rc<Self>, name: &str, record: Value) {
        let object = Object::new(INSTANCES, name, record);
        self.after_lag(move |state| state.upsert(INSTANCES, object));
    }

    fn remove_instance_after_lag(self: &Rc<Self>, name: &str) {
        let name = name.to_owned();
        self.after_lag(move |state| state.remove(INSTANCES, &name));
    }

    fn after_lag(self: &Rc<Self>, change: impl FnOnce(&Self) + 'static) {
        let lag = self.config.instances_lag;
        if lag.is_zero() {
            return change(self);
        }
        let state = Rc::clone(self);
        actix_rt::spawn(async move {
            actix_rt::time::sleep(lag).await;
            change(&state);
        });
    }

    fn compact(&self) {
        self.store.borrow_mut().compact();
        self.changed.notify_waiters();
    }
}
