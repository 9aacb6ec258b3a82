//! What the engine is and has, shared by its calls and its step loop.

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

/// What is lost in a crash.
#[derive(Debug)]
pub(super) struct Memory {
    pub(super) target: EngineTarget,
    pub(super) fence: u64,
    pub(super) changing: Option<EngineTarget>,
    pub(super) failed: Option<Failure>,
    pub(super) batch: Batch,
    pub(super) requests: Requests,
    pub(super) cache: PrefixCache,
    pub(super) events: EventLog,
    pub(super) loads: LoadHistory,
    pub(super) kv: KvStore,
}

/// Why the last change failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Failure {
    Weights,
}

/// The answer to `GET /state`.
#[derive(Debug, Serialize)]
pub(super) struct Report {
    #[serde(flatten)]
    target: EngineTarget,
    changing: bool,
    fence: u64,
    checks_fence: bool,
    started: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    failed: Option<Failure>,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) config: EngineConfig,
    pub(super) memory: RefCell<Memory>,
    /// Tells one start from the next.
    pub(super) started: Cell<u64>,
    pub(super) faults: Cell<EngineFaults>,
    pub(super) seen: RefCell<EngineSeen>,
    /// Told when a request arrives.
    pub(super) work: Notify,
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
            failed: None,
            batch: Batch::new(limits),
            requests: Requests::new(config.kept_requests),
            cache: PrefixCache::new(config.cache_blocks),
            events: EventLog::new(config.event_lag, config.event_loss),
            loads: LoadHistory::new(config.load_lag, idle),
            kv: KvStore::default(),
        }
    }

    /// Notes the present load for a later report.
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

    /// Cuts every request and returns the ids of those that had not ended.
    pub(super) fn cut_all(&mut self) -> Vec<String> {
        let cut = self.requests.clear();
        cut.iter().for_each(|it| it.end(Phase::Cut));
        self.batch.cut_all();
        self.sample_load();
        cut.iter().map(|it| it.job.id.clone()).collect()
    }

    /// Empties the prefix cache.
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
            work: Notify::new(),
            anonymous: Cell::default(),
        })
    }

    /// Loses everything in memory and starts anew.
    pub(super) fn crash(&self) {
        let cut = self.memory.borrow_mut().cut_all();
        self.memory.replace(Memory::new(&self.config));
        self.started.update(|it| it + 1);
        let mut seen = self.seen.borrow_mut();
        seen.crashes += 1;
        seen.cut.extend(cut);
    }

    pub(super) fn report(&self) -> Report {
        let memory = self.memory.borrow();
        Report {
            target: memory.target.clone(),
            changing: memory.changing.is_some(),
            fence: memory.fence,
            checks_fence: self.config.checks_fence,
            started: self.started.get(),
            failed: memory.failed,
        }
    }

    /// Changes the faults and returns what `change` returns.
    pub(super) fn with_faults<T>(&self, change: impl FnOnce(&mut EngineFaults) -> T) -> T {
        let mut faults = self.faults.get();
        let result = change(&mut faults);
        self.faults.set(faults);
        result
    }
}
