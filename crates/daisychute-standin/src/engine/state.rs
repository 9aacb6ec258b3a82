//! State of the engine, shared by its API and its step loop.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use daisychute_core::EngineTarget;
use serde::Serialize;
use tokio::sync::Notify;

use super::batch::{Batch, Limits};
use super::cache::PrefixCache;
use super::config::EngineConfig;
use super::events::{CacheEventType, EventLog};
use super::faults::EngineFaults;
use super::kv::KvStore;
use super::load::{Load, LoadHistory};
use super::requests::Requests;
use super::seen::EngineSeen;
use super::sequence::Phase;

/// Volatile state, which a crash resets.
#[derive(Debug)]
pub(super) struct Memory {
    pub(super) target: EngineTarget,
    /// Fencing token of the last accepted order.
    pub(super) fence: u64,
    /// Target of the change in progress.
    pub(super) changing: Option<EngineTarget>,
    /// Why the last change failed; `None` if it succeeded or another one has started.
    pub(super) change_failure: Option<ChangeFailure>,
    pub(super) batch: Batch,
    pub(super) requests: Requests,
    pub(super) cache: PrefixCache,
    pub(super) events: EventLog,
    pub(super) loads: LoadHistory,
    pub(super) kv: KvStore,
}

/// The reason why a change failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum ChangeFailure {
    /// The weights can't be downloaded.
    Weights,
}

/// Response of `GET /state`.
#[derive(Debug, Serialize)]
pub(super) struct StateReport {
    #[serde(flatten)]
    target: EngineTarget,
    changing: bool,
    fence: u64,
    checks_fence: bool,
    started: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    failed: Option<ChangeFailure>,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) config: EngineConfig,
    pub(super) memory: RefCell<Memory>,
    /// Identifies a start of the engine: microseconds since the Unix epoch, plus the number of crashes.
    pub(super) started: Cell<u64>,
    pub(super) faults: Cell<EngineFaults>,
    pub(super) seen: RefCell<EngineSeen>,
    /// Notified when a request arrives.
    pub(super) request_arrived: Notify,
    /// Number of requests without an id so far, from which their ids are generated.
    pub(super) anonymous: Cell<u64>,
}

impl Memory {
    fn new(config: &EngineConfig) -> Self {
        let limits = Limits {
            max_batch: config.max_batch,
            prefill_chunk: config.prefill_chunk,
            kv_tokens: config.kv_tokens,
        };
        let idle = Load { kv_free_tokens: config.kv_tokens, ..Load::default() };
        Self {
            target: config.target.clone(),
            fence: 0,
            changing: None,
            change_failure: None,
            batch: Batch::new(limits),
            requests: Requests::new(config.retained_requests),
            cache: PrefixCache::new(config.cache_blocks),
            events: EventLog::new(config.event_lag, config.event_loss),
            loads: LoadHistory::new(config.load_lag, idle),
            kv: KvStore::default(),
        }
    }

    /// Records the current load for a later report.
    pub(super) fn sample_load(&mut self) {
        let load = Load {
            running: self.batch.running_count(),
            waiting: self.batch.waiting_count(),
            prompt_tokens_waiting: self.batch.prompt_tokens_waiting(),
            kv_free_tokens: self.batch.kv_free_tokens(),
            as_of_ms_ago: 0,
        };
        self.loads.push(load);
    }

    /// Aborts every request. Returns the ids of those that hadn't ended.
    pub(super) fn abort_all(&mut self) -> Vec<String> {
        let aborted = self.requests.clear();
        aborted.iter().for_each(|it| it.end(Phase::Aborted));
        self.batch.abort_all();
        self.sample_load();
        aborted.iter().map(|it| it.job.id.clone()).collect()
    }

    /// Empties the prefix cache and drops exported and imported KV caches.
    pub(super) fn clear_cache(&mut self) {
        let evicted = self.cache.clear();
        self.events.push(CacheEventType::Evicted, evicted);
        self.kv = KvStore::default();
    }
}

impl State {
    pub(super) fn new(config: EngineConfig) -> Rc<Self> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started = u64::try_from(since_epoch.as_micros()).unwrap_or_default();
        Rc::new(Self {
            memory: RefCell::new(Memory::new(&config)),
            config,
            started: Cell::new(started),
            faults: Cell::default(),
            seen: RefCell::default(),
            request_arrived: Notify::new(),
            anonymous: Cell::default(),
        })
    }

    /// Simulates a crash and a restart: resets the volatile state.
    pub(super) fn crash(&self) {
        let aborted = self.memory.borrow_mut().abort_all();
        self.memory.replace(Memory::new(&self.config));
        self.started.update(|it| it + 1);
        let mut seen = self.seen.borrow_mut();
        seen.crashes += 1;
        seen.cut.extend(aborted);
    }

    pub(super) fn report(&self) -> StateReport {
        let memory = self.memory.borrow();
        StateReport {
            target: memory.target.clone(),
            changing: memory.changing.is_some(),
            fence: memory.fence,
            checks_fence: self.config.checks_fence,
            started: self.started.get(),
            failed: memory.change_failure,
        }
    }

    /// Applies `change` to the injected faults and returns its result.
    pub(super) fn with_faults<T>(&self, change: impl FnOnce(&mut EngineFaults) -> T) -> T {
        let mut faults = self.faults.get();
        let result = change(&mut faults);
        self.faults.set(faults);
        result
    }
}
