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

/// The kind of the objects that list the instances.
pub const INSTANCES: &str = "instances";

/// How the platform behaves.
#[derive(Debug, Clone)]
pub struct PlatformConfig {
    /// How many changes a watch can catch up on.
    pub history: usize,
    /// How often a quiet watch sends a bookmark.
    pub bookmark_interval: Duration,
    /// How late the list of instances shows what a test sets.
    pub instances_lag: Duration,
    /// Reads a second that are let through, watches included; none for no limit.
    pub read_rate: Option<u32>,
    /// Writes a second that are let through; none for no limit.
    pub write_rate: Option<u32>,
    /// Loads from the weight store that run at once.
    pub weight_loads: u32,
    /// How long one load from the weight store takes.
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

/// What the API and the watches share.
#[derive(Debug)]
struct State {
    config: PlatformConfig,
    store: RefCell<Store>,
    /// What reads show while they are stale.
    stale: RefCell<Option<Store>>,
    reads: RefCell<RateLimit>,
    writes: RefCell<RateLimit>,
    weight_loads: Cell<u32>,
    faults: Cell<Faults>,
    /// How many times watches were silenced.
    silences: Cell<u64>,
    seen: RefCell<Seen>,
    /// Told of every change.
    changed: Notify,
    bytes: ByteCount,
}

/// A running platform. Dropping it stops it.
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
    /// The address can't be listened on.
    pub async fn start(addr: SocketAddr, config: PlatformConfig) -> Result<Self, StandinError> {
        let state = Rc::new(State {
            store: RefCell::new(Store::new(config.history)),
            reads: RefCell::new(RateLimit::new(config.read_rate)),
            writes: RefCell::new(RateLimit::new(config.write_rate)),
            weight_loads: Cell::default(),
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

    /// Where it listens.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state.set_faults(faults);
    }

    /// What it has seen.
    #[must_use]
    pub fn seen(&self) -> Seen {
        self.state.seen()
    }

    /// Stores a record in the list of instances, which shows it after the lag.
    pub fn put_instance(&self, name: &str, record: Value) {
        self.state.put_instance_late(name, record);
    }

    /// Removes a record from the list of instances, which shows it until after the lag.
    pub fn remove_instance(&self, name: &str) {
        self.state.remove_instance_late(name);
    }

    /// Stores an object whatever there was, at once.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.state.upsert(kind, Object::new(kind, name, spec));
    }

    /// An object as it is now, whatever the faults.
    #[must_use]
    pub fn get(&self, kind: &str, name: &str) -> Option<Object> {
        self.state.store.borrow().get(kind, name).ok().map(|it| Object::clone(&it))
    }

    /// Deletes an object whatever its version, at once.
    pub fn remove(&self, kind: &str, name: &str) {
        self.state.remove(kind, name);
    }

    /// Makes every version before the present one too old for a watch.
    pub fn compact(&self) {
        self.state.compact();
    }
}

impl State {
    fn set_faults(&self, faults: Faults) {
        let before = self.faults.replace(faults);
        if faults.silent_watches && !before.silent_watches {
            self.silences.update(|it| it + 1);
        }
        if faults.stale_reads != before.stale_reads {
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

    fn put_instance_late(self: &Rc<Self>, name: &str, record: Value) {
        let object = Object::new(INSTANCES, name, record);
        self.after_lag(move |state| state.upsert(INSTANCES, object));
    }

    fn remove_instance_late(self: &Rc<Self>, name: &str) {
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
