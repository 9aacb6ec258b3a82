//! Simulation of several fronts and engines, without a network.
//!
//! Engines prefill prompts in chunks: mixed engines in order of priority, dedicated prefill engines in order of
//! arrival. They cache the most recently used parts that fit into their memory and respond after fixed times. Fronts
//! send heartbeats, less often the more fronts there are, and at once if the dispatcher requests it. Both can be
//! switched off.
#![allow(dead_code)]

pub(crate) mod replay;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use daisychute_core::{EndpointName, Time};
use daisychute_dispatch::{
    Action, DispatchSettings, Dispatcher, Endpoint, EndpointKey, EngineStage, Event, FrontPosition,
    PeerLoad, Prompt, PromptPart, RequestInfo, RequestKey, SendDecision, SendFailure, Task,
};

use crate::common;

/// Minimum interval between two heartbeats of a front.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(40);
/// Heartbeat interval per other front, if that is more than the minimum.
const HEARTBEAT_INTERVAL_PER_PEER: Duration = Duration::from_millis(12);
/// Maximum interval between two heartbeats of a front.
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between two measurements of how evenly the engines are loaded.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Time from the end of a prefill to the first output.
const OUTPUT_LATENCY: Duration = Duration::from_millis(80);
/// Time to the first output if the KV cache is fetched.
const FETCH_LATENCY: Duration = Duration::from_millis(16);
/// Prompt tokens that an engine prefills before it may switch to another prompt.
const CHUNK_TOKENS: u64 = 4_096;
/// Time to the refusal of a request by a paused endpoint.
const REFUSAL_LATENCY: Duration = Duration::from_millis(3);
/// Time from the first output to the end of a response.
const GENERATION_TIME: Duration = Duration::from_millis(150);
/// Prefill time per token of a dedicated prefill engine, in ms.
const DEDICATED_MS_PER_TOKEN: f64 = 0.0108;
/// Prefill time per token of a mixed engine, in ms.
const MIXED_MS_PER_TOKEN: f64 = 0.0215;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrival { front: usize, number: usize },
    Prefilled { front: usize, key: u64 },
    FirstOutput { front: usize, key: u64 },
    Restart { front: usize },
    ChunkDone { engine: EndpointName },
    End { front: usize, key: u64 },
    Refused { front: usize, key: u64, endpoint: EndpointKey, pause: Duration },
    Heartbeat { front: usize },
    HeartbeatArrived { from: usize, number: u64 },
    Sample,
}

impl SimEvent {
    /// Whether the event recurs for as long as there are others.
    const fn recurs(&self) -> bool {
        matches!(self, Self::Heartbeat { .. } | Self::HeartbeatArrived { .. } | Self::Sample)
    }
}

/// Content of a heartbeat that hasn't arrived yet.
type HeartbeatContent = (Vec<(EndpointName, PeerLoad)>, Vec<(EndpointName, PromptPart)>);

/// Evenness of the load of the engines of one stage, measured at regular intervals.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Evenness {
    /// Number of measurements at which any prompt waited for another one.
    pub(crate) busy_samples: usize,
    /// Sum of the ratios of the largest to the mean backlog over these.
    pub(crate) sum_of_ratios: f64,
    /// Sum of the shares of the engines that had no prompt.
    pub(crate) sum_of_idle: f64,
}

impl Evenness {
    /// Returns the mean ratio of the largest to the mean backlog.
    pub(crate) fn ratio(&self) -> f64 {
        self.sum_of_ratios / self.busy_samples.max(1) as f64
    }

    /// Returns the mean share of the engines that were idle while prompts waited.
    pub(crate) fn idle(&self) -> f64 {
        self.sum_of_idle / self.busy_samples.max(1) as f64
    }
}

#[derive(Debug, Clone)]
struct Job {
    front: usize,
    key: u64,
    priority: u8,
    prefill_only: bool,
    uncached: u64,
}

#[derive(Debug, Default, Clone)]
pub(crate) struct Engine {
    // Position in the fleet.
    number: usize,
    // The first one is being prefilled.
    jobs: VecDeque<Job>,
    // Least recently used first.
    cached: Vec<PromptPart>,
    pub(crate) prefilled_tokens: u64,
    pub(crate) shared_prefilled: u64,
    pub(crate) sends: usize,
    /// Factor by which the engine is slower than the others.
    pub(crate) slowdown: f64,
}

/// Outcome of a request: its time to the first output, a refusal or a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    FirstOutput(Duration),
    Refused { elapsed: Duration, retry_after: Duration },
    Failed,
}

/// Predicted and measured time to the first output of a send attempt.
#[derive(Debug, Clone)]
pub(crate) struct Observation {
    pub(crate) at: Time,
    pub(crate) path: String,
    pub(crate) predicted: Duration,
    pub(crate) took: Duration,
}

pub(crate) struct Simulation {
    pub(crate) observations: Vec<Observation>,
    pub(crate) fronts: Vec<Dispatcher>,
    pub(crate) engines: HashMap<EndpointName, Engine>,
    pub(crate) outcomes: BTreeMap<usize, Outcome>,
    pub(crate) requests: Vec<(Time, usize, RequestInfo)>,
    queue: BinaryHeap<Reverse<(Time, u64, SimEvent)>>,
    parts: Vec<Vec<(EndpointName, PromptPart)>>,
    arrived: HashMap<u64, (usize, Time)>,
    now: Time,
    sequence: u64,
    heartbeats: bool,
    /// Whether engines answer queries for their cached parts.
    pub(crate) answers_cache_queries: bool,
    /// Endpoints that refuse all requests from the first time to the second.
    pub(crate) pauses: Vec<(EndpointName, Time, Time)>,
    /// Whether refusals in a pause tell its remaining time.
    pub(crate) tells_pauses: bool,
    /// Number of requests that were refused in a pause, and of sends after an attempt that counted.
    pub(crate) refused_sends: usize,
    pub(crate) retries: usize,
    /// Whether heartbeats are sent at once if the dispatcher requests it.
    pub(crate) urgent_heartbeats: bool,
    // Fronts whose dispatcher requested a heartbeat.
    heartbeat_requested: Vec<bool>,
    last_heartbeat: Vec<Time>,
    fleet: Vec<Endpoint>,
    settings: DispatchSettings,
    /// Time for which a heartbeat travels, with a jitter of a quarter.
    pub(crate) heartbeat_age: Duration,
    // Heartbeats that haven't arrived, by their number, and when the latest of each front arrives.
    travelling: HashMap<u64, HeartbeatContent>,
    last_arrival: Vec<Time>,
    /// Time after which the next quarter of the engines takes twice as long for everything; `None` if none does.
    pub(crate) slow_in_turn: Option<Duration>,
    /// Fronts whose heartbeats are lost from the given time on.
    pub(crate) silent: Vec<(usize, Time)>,
    /// Evenness of the engines that prefill only, and of those that also generate.
    pub(crate) evenness: [Evenness; 2],
}

impl Simulation {
    pub(crate) fn new(fronts: usize, heartbeats: bool) -> Self {
        Self::with_fleet(fronts, heartbeats, common::fleet(), DispatchSettings::default())
    }

    /// Creates a simulation of fronts with these settings before these endpoints.
    pub(crate) fn with_fleet(
        fronts: usize,
        heartbeats: bool,
        fleet: Vec<Endpoint>,
        settings: DispatchSettings,
    ) -> Self {
        let mut sim = Self {
            observations: Vec::new(),
            fronts: Vec::new(),
            engines: HashMap::new(),
            outcomes: BTreeMap::new(),
            requests: Vec::new(),
            queue: BinaryHeap::new(),
            parts: vec![Vec::new(); fronts],
            arrived: HashMap::new(),
            now: Time::ZERO,
            sequence: 0,
            heartbeats,
            answers_cache_queries: true,
            pauses: Vec::new(),
            tells_pauses: true,
            refused_sends: 0,
            retries: 0,
            urgent_heartbeats: true,
            heartbeat_requested: vec![false; fronts],
            last_heartbeat: vec![Time::ZERO; fronts],
            fleet,
            settings,
            heartbeat_age: Duration::ZERO,
            travelling: HashMap::new(),
            last_arrival: vec![Time::ZERO; fronts],
            slow_in_turn: None,
            silent: Vec::new(),
            evenness: [Evenness::default(); 2],
        };
        for (number, endpoint) in sim.fleet.iter().enumerate() {
            let engine = Engine { number, slowdown: 1.0, ..Engine::default() };
            sim.engines.insert(endpoint.name.clone(), engine);
        }
        for number in 0..fronts {
            sim.fronts.push(Dispatcher::new(sim.settings.clone()));
            sim.start(number);
        }
        sim
    }

    /// Starts or restarts a front, with an empty state.
    fn start(&mut self, front: usize) {
        self.fronts[front] = Dispatcher::new(self.settings.clone());
        self.handle_event(front, Event::Configured(common::table(1)));
        self.handle_event(
            front,
            Event::FrontsCounted(FrontPosition::new(self.fronts.len(), front)),
        );
        for endpoint in self.fleet.clone() {
            self.handle_event(front, Event::EndpointUpserted(endpoint));
        }
    }

    /// Schedules a restart of all fronts.
    pub(crate) fn restart_all(&mut self, at: Time) {
        for front in 0..self.fronts.len() {
            self.push(at, SimEvent::Restart { front });
        }
    }

    /// Schedules the arrival of a request at a front.
    pub(crate) fn arrival(&mut self, at: Time, front: usize, path: &str, prompt: Option<Prompt>) {
        let number = self.requests.len();
        let mut info =
            RequestInfo::new(format!("id-{number}"), common::HOST, format!("{path}{number}"));
        info.prompt = prompt;
        info.client_timeout = Some(Duration::from_secs(5));
        self.requests.push((at, front, info));
        self.push(at, SimEvent::Arrival { front, number });
    }

    fn push(&mut self, at: Time, event: SimEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, event)));
    }

    pub(crate) fn run(&mut self) {
        for front in 0..self.fronts.len() {
            // Heartbeats of different fronts aren't synchronized.
            let at = self.now
                + self.heartbeat_interval().mul_f64((front + 1) as f64 / self.fronts.len() as f64);
            self.push(at, SimEvent::Heartbeat { front });
        }
        self.push(self.now + SAMPLE_INTERVAL, SimEvent::Sample);
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            self.now = at;
            match event {
                SimEvent::Arrival { front, number } => self.arrive(front, number),
                SimEvent::Prefilled { front, key } => {
                    let handle = format!("h{key}").into();
                    self.handle_event(
                        front,
                        Event::Prefilled { key: RequestKey::new(key), handle },
                    );
                }
                SimEvent::FirstOutput { front, key } => self.first_output(front, key),
                SimEvent::Restart { front } => self.start(front),
                SimEvent::ChunkDone { engine } => self.chunk_done(&engine),
                SimEvent::End { front, key } => {
                    self.handle_event(front, Event::Finished { key: RequestKey::new(key) });
                }
                SimEvent::Refused { front, key, endpoint, pause } => {
                    if self.tells_pauses {
                        let spread = 0.5;
                        self.handle_event(front, Event::PauseRequested { endpoint, pause, spread });
                    }
                    let (key, failure) =
                        (RequestKey::new(key), SendFailure::NotRun { misdirected: false });
                    self.handle_event(front, Event::SendFailed { key, failure });
                }
                SimEvent::Heartbeat { front } => self.heartbeat(front),
                SimEvent::HeartbeatArrived { from, number } => self.heartbeat_arrived(from, number),
                SimEvent::Sample => self.sample(),
            }
        }
    }

    fn arrive(&mut self, front: usize, number: usize) {
        let key = number as u64 + 1;
        self.arrived.insert(key, (number, self.now));
        let request = self.requests[number].2.clone();
        self.handle_event(front, Event::Arrived { key: RequestKey::new(key), request });
    }

    fn first_output(&mut self, front: usize, key: u64) {
        let (number, at) = self.arrived[&key];
        self.outcomes.insert(number, Outcome::FirstOutput(self.now.since(at)));
        self.handle_event(front, Event::ResponseStarted { key: RequestKey::new(key) });
        self.handle_event(front, Event::FirstOutput { key: RequestKey::new(key) });
    }

    fn handle_event(&mut self, front: usize, event: Event) {
        let mut actions = Vec::new();
        self.fronts[front].handle(self.now, event, &mut actions);
        for action in actions {
            self.perform(front, action);
        }
    }

    fn perform(&mut self, front: usize, action: Action) {
        match action {
            Action::Send { key, decision } => self.send(front, key, &decision),
            Action::Refuse { key, retry_after, .. } => {
                let (number, at) = self.arrived[&key.number()];
                let retry_after = retry_after.unwrap_or_default();
                self.outcomes
                    .insert(number, Outcome::Refused { elapsed: self.now.since(at), retry_after });
            }
            Action::Fail { key, .. } => {
                let (number, _) = self.arrived[&key.number()];
                self.outcomes.insert(number, Outcome::Failed);
            }
            Action::RecordLatency { key, predicted, took, .. } => {
                let path = self.requests[self.arrived[&key.number()].0].2.path.to_string();
                self.observations.push(Observation { at: self.now, path, predicted, took });
            }
            Action::QueryCache { endpoint, name, .. } if self.answers_cache_queries => {
                let parts = self.engines[&name].cached.clone();
                self.handle_event(front, Event::CacheReported { endpoint, parts });
            }
            Action::SendHeartbeat if self.urgent_heartbeats => {
                self.heartbeat_requested[front] = true
            }
            Action::AnnounceCachedPart { endpoint, part } => {
                self.parts[front].push((endpoint, part))
            }
            _ => {}
        }
    }

    fn send(&mut self, front: usize, key: RequestKey, decision: &SendDecision) {
        self.retries += usize::from(decision.previous_attempts > 0);
        let is_paused = |it: &&(EndpointName, Time, Time)| {
            it.0 == decision.name && it.1 <= self.now && self.now < it.2
        };
        if let Some((_, _, until)) = self.pauses.iter().find(is_paused) {
            let (key, endpoint) = (key.number(), decision.endpoint);
            let at = self.now + REFUSAL_LATENCY;
            let pause = until.since(at);
            self.refused_sends += 1;
            self.push(at, SimEvent::Refused { front, key, endpoint, pause });
            return;
        }
        let prompt = self.requests[self.arrived[&key.number()].0].2.prompt.clone();
        let fetched = decision.fetch_from.and_then(|it| self.cached_at(it)).unwrap_or_default();
        let engine = self.engines.get_mut(&decision.name).expect("the engine exists");
        engine.sends += 1;
        let key = key.number();
        let Some(prompt) = prompt.filter(|_| !matches!(decision.task, Task::Decode { .. })) else {
            let first_output =
                if matches!(decision.task, Task::Run) { OUTPUT_LATENCY } else { FETCH_LATENCY };
            let at = self.now + first_output.mul_f64(engine.slowdown);
            self.push(at, SimEvent::FirstOutput { front, key });
            self.push(at + GENERATION_TIME, SimEvent::End { front, key });
            return;
        };
        let uncached = engine.add_prompt(&prompt, &fetched);
        let prefill_only = decision.task == Task::Prefill;
        engine.jobs.push_back(Job {
            front,
            key,
            priority: decision.priority,
            prefill_only,
            uncached,
        });
        if engine.jobs.len() == 1 {
            self.start_chunk(&decision.name);
        }
    }

    /// Starts the next chunk of the engine's first job.
    fn start_chunk(&mut self, name: &EndpointName) {
        let engine = &self.engines[name];
        let Some(job) = engine.jobs.front() else { return };
        let slowdown = engine.slowdown * self.slowdown_in_turn(engine);
        let ms = job.uncached.min(CHUNK_TOKENS) as f64 * job.ms_per_token() * slowdown;
        let at = self.now + Duration::from_secs_f64(ms / 1e3);
        self.push(at, SimEvent::ChunkDone { engine: name.clone() });
    }

    /// Ends a chunk. A mixed engine continues with its most urgent job, a dedicated one with the same.
    fn chunk_done(&mut self, name: &EndpointName) {
        let engine = self.engines.get_mut(name).expect("the engine exists");
        let mut job = engine.jobs.pop_front().expect("the engine has a job");
        job.uncached = job.uncached.saturating_sub(CHUNK_TOKENS);
        if job.uncached > 0 {
            let ahead = engine
                .jobs
                .iter()
                .filter(|it| !it.prefill_only && it.priority < job.priority)
                .count();
            engine.jobs.insert(ahead, job);
        } else {
            let (front, key) = (job.front, job.key);
            let at = self.now + OUTPUT_LATENCY.mul_f64(engine.slowdown);
            if job.prefill_only {
                self.push(at, SimEvent::Prefilled { front, key });
            } else {
                self.push(at, SimEvent::FirstOutput { front, key });
                self.push(at + GENERATION_TIME, SimEvent::End { front, key });
            }
        }
        let engine = self.engines.get_mut(name).expect("the engine exists");
        if engine.jobs.front().is_some_and(|it| !it.prefill_only) {
            engine.jobs.make_contiguous().sort_by_key(|it| it.priority);
        }
        self.start_chunk(name);
    }

    fn cached_at(&self, address: std::net::SocketAddr) -> Option<Vec<PromptPart>> {
        let endpoint = self.fleet.iter().find(|it| it.address == address)?;
        Some(self.engines[&endpoint.name].cached.clone())
    }

    /// Returns the interval between two heartbeats of a front, unless one is requested.
    fn heartbeat_interval(&self) -> Duration {
        let interval = HEARTBEAT_INTERVAL_PER_PEER * (self.fronts.len() as u32 - 1);
        interval.clamp(MIN_HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL)
    }

    /// Sends a heartbeat if one is due, and schedules the next check.
    fn heartbeat(&mut self, from: usize) {
        let elapsed = self.now.since(self.last_heartbeat[from]);
        if elapsed >= self.heartbeat_interval()
            || (self.heartbeat_requested[from] && elapsed >= MIN_HEARTBEAT_INTERVAL)
        {
            self.send_heartbeat(from);
        }
        if self.has_work() {
            self.push(self.now + MIN_HEARTBEAT_INTERVAL / 8, SimEvent::Heartbeat { front: from });
        }
    }

    fn send_heartbeat(&mut self, from: usize) {
        self.heartbeat_requested[from] = false;
        self.last_heartbeat[from] = self.now;
        if !self.heartbeats {
            return;
        }
        let now = self.now;
        let loads = self.fronts[from].fleet().own_load(now);
        let loads: Vec<_> = loads.map(|(name, it)| (name.clone(), it)).collect();
        let parts = std::mem::take(&mut self.parts[from]);
        if self.silent.iter().any(|(front, since)| *front == from && *since <= now) {
            return;
        }
        let number = self.sequence;
        self.travelling.insert(number, (loads, parts));
        if self.heartbeat_age.is_zero() {
            return self.heartbeat_arrived(from, number);
        }
        let jitter = (number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) as f64 / (1 << 24) as f64;
        let at = now + self.heartbeat_age.mul_f64(0.875 + jitter / 4.0);
        self.last_arrival[from] = self.last_arrival[from].max(at);
        self.push(self.last_arrival[from], SimEvent::HeartbeatArrived { from, number });
    }

    fn heartbeat_arrived(&mut self, from: usize, number: u64) {
        let (loads, parts) = self.travelling.remove(&number).expect("the heartbeat was sent");
        for to in (0..self.fronts.len()).filter(|it| *it != from) {
            let (loads, parts) = (loads.clone(), parts.clone());
            self.handle_event(to, Event::PeerHeartbeat { peer: from as u64, loads, parts });
        }
    }

    /// Whether anything is left to do, apart from events that recur.
    fn has_work(&self) -> bool {
        self.queue.iter().any(|it| !it.0.2.recurs())
    }

    /// Returns the factor by which an engine is slower in its turn.
    fn slowdown_in_turn(&self, engine: &Engine) -> f64 {
        let Some(period) = self.slow_in_turn else { return 1.0 };
        let turn = self.now.as_micros() as usize / period.as_micros() as usize;
        if engine.number % 4 == turn % 4 { 2.0 } else { 1.0 }
    }

    /// Measures how evenly the engines are loaded, and schedules the next measurement.
    fn sample(&mut self) {
        let stages = [EngineStage::Prefill, EngineStage::Decode];
        for (evenness, stage) in self.evenness.iter_mut().zip(stages) {
            let of_stage = self.fleet.iter().filter(|it| it.stage == Some(stage));
            let engines: Vec<_> = of_stage.map(|it| &self.engines[&it.name]).collect();
            if engines.iter().all(|it| it.jobs.len() < 2) {
                continue;
            }
            let backlog: Vec<_> = engines.iter().map(|it| it.backlog_ms()).collect();
            let mean = backlog.iter().sum::<f64>() / backlog.len() as f64;
            let idle = engines.iter().filter(|it| it.jobs.is_empty()).count();
            evenness.busy_samples += 1;
            evenness.sum_of_ratios += backlog.iter().copied().fold(0.0, f64::max) / mean;
            evenness.sum_of_idle += idle as f64 / engines.len() as f64;
        }
        if self.has_work() {
            self.push(self.now + SAMPLE_INTERVAL, SimEvent::Sample);
        }
    }

    /// Returns the share of the requests on a path whose first output came within `objective`.
    pub(crate) fn on_time(&self, path: &str, objective: Duration) -> f64 {
        let on_path = |number: &usize| self.requests[*number].2.path.starts_with(path);
        let outcomes: Vec<_> = self.outcomes.iter().filter(|(number, _)| on_path(number)).collect();
        let on_time = outcomes
            .iter()
            .filter(|(_, it)| matches!(it, Outcome::FirstOutput(took) if *took <= objective));
        on_time.count() as f64 / outcomes.len().max(1) as f64
    }

    pub(crate) fn shared_prefilled(&self) -> u64 {
        self.engines.values().map(|it| it.shared_prefilled).sum()
    }

    pub(crate) fn key(&self, front: usize, name: &EndpointName) -> Option<EndpointKey> {
        self.fronts[front].fleet().key(name)
    }
}

impl Job {
    const fn ms_per_token(&self) -> f64 {
        if self.prefill_only { DEDICATED_MS_PER_TOKEN } else { MIXED_MS_PER_TOKEN }
    }
}

impl Engine {
    /// Returns the time to prefill all prompts at usual speed, in ms.
    fn backlog_ms(&self) -> f64 {
        self.jobs.iter().map(|it| it.uncached as f64 * it.ms_per_token()).sum()
    }

    /// Adds a prompt to the cache. Returns the tokens that neither the cache nor the fetched parts contain.
    fn add_prompt(&mut self, prompt: &Prompt, fetched: &[PromptPart]) -> u64 {
        let mut uncached = u64::from(prompt.tokens);
        let mut prefix_cached = true;
        for part in prompt.shared() {
            let is_cached = prefix_cached && (self.cached.contains(part) || fetched.contains(part));
            prefix_cached = is_cached;
            if is_cached {
                uncached -= u64::from(part.tokens);
            } else {
                self.shared_prefilled += u64::from(part.tokens);
            }
        }
        for part in &prompt.parts {
            self.cached.retain(|it| it != part);
            self.cached.push(*part);
        }
        while self.cached.iter().map(|it| u64::from(it.tokens)).sum::<u64>() > common::KV_TOKENS {
            self.cached.remove(0);
        }
        self.prefilled_tokens += uncached;
        uncached
    }
}

/// Returns a long prompt of a shared prefix and a part that no other prompt has.
pub(crate) fn long_prompt(prefix: u64, request: u64) -> Prompt {
    let parts = vec![
        PromptPart { key: 1_000 + prefix, tokens: 13_300 },
        PromptPart { key: 1_000_000 + request, tokens: 3_720 },
    ];
    Prompt { parts, tokens: 17_020, max_output: 120 }
}

/// Returns a short prompt whose shared parts are too small to be cached.
pub(crate) fn short_prompt(request: u64) -> Prompt {
    let parts = vec![
        PromptPart { key: 7, tokens: 55 },
        PromptPart { key: 50_000 + request % 1_590, tokens: 37 },
        PromptPart { key: 2_000_000 + request, tokens: 291 },
    ];
    Prompt { parts, tokens: 383, max_output: 44 }
}
