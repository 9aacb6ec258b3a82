//! Simulated clients, each with a persistent connection to a front.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use daisychute_platform_standin::{
    BREAK_HEADER, Connection, OUTPUT_TOKENS, Paths, TELL_VERSION_HEADER, request_text,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep};

use crate::changes::{Handled, Probe, Target};
use crate::checks::RequestRecord;
use crate::versions::{is_whole, last_event};

/// Upper bound of the random pause of a client before each request, in ms.
const MAX_PAUSE_MS: u64 = 40;

/// Upper bound of the random pause of a client of long streams before each of them, in ms.
const MAX_STREAM_PAUSE_MS: u64 = 1_000;
/// Upper bound of the random pause of a client that resumes its streams before each of them, in ms.
const MAX_RESUMING_PAUSE_MS: u64 = 300;
/// Prompt part that ends workers.
pub(crate) const POISON: &str = "bad0";
/// Path of the call that ends workers.
pub(crate) const CRASHING: &str = "/panel/crash";
/// Upper bound of the random pause of a client of requests that may end workers before each of them, in ms.
const MAX_POISONING_PAUSE_MS: u64 = 250;
/// Upper bound of the random pause of a probing client before each request, in ms.
const MAX_PROBE_PAUSE_MS: u64 = 80;
/// Number of versions, from the next one backwards, whose own routes are probed.
const MAX_PROBE_AGE: u64 = 7;
/// Maximum number of attempts at a stream.
const MAX_STREAM_ATTEMPTS: usize = 3;
/// Output tokens of the longest streams. They take 7.2 s at the pace of the stand-ins; a front that shuts down gives its
/// requests 7.5 s.
const MAX_OUTPUT_TOKENS: u32 = 138;

/// The state that all simulated clients share.
#[derive(Debug, Default)]
pub(crate) struct ClientPool {
    /// The current client address of each front.
    pub(crate) front_addresses: RefCell<Vec<SocketAddr>>,
    /// When each front, by its client address, was started.
    pub(crate) front_starts: RefCell<HashMap<SocketAddr, Instant>>,
    /// The number of each front, by its client addresses, those before its restarts included.
    pub(crate) front_numbers: RefCell<HashMap<SocketAddr, usize>>,
    /// The finished requests of all clients, in the order in which they ended.
    pub(crate) records: RefCell<Vec<RequestRecord>>,
    /// The streams of the clients that resume them: the attempts of each.
    pub(crate) streams: RefCell<Vec<Vec<RequestRecord>>>,
    /// The requests with [`POISON`] or the path [`CRASHING`], and those that the same clients sent beside them.
    pub(crate) poisoned: RefCell<Vec<RequestRecord>>,
    pub(crate) sound: RefCell<Vec<RequestRecord>>,
    /// The requests of the clients that probe which configuration is in force.
    pub(crate) probes: RefCell<Vec<Probe>>,
    /// The latest version of the configuration.
    pub(crate) version: Cell<u64>,
    /// The services of the workers, by worker id.
    pub(crate) services: RefCell<HashMap<String, &'static str>>,
    /// Set to make every client stop after its current request.
    pub(crate) stopping: Cell<bool>,
    /// Number of request ids given out.
    ids: Cell<u64>,
}

impl ClientPool {
    fn next_id(&self) -> String {
        self.ids.set(self.ids.get() + 1);
        // The `c` keeps these ids apart from those of the recovery check, which are plain numbers from one.
        format!("c{:015x}", self.ids.get())
    }

    /// Address of a random front.
    fn random_address(&self, rng: &mut Pcg64Mcg) -> SocketAddr {
        let addresses = self.front_addresses.borrow();
        addresses[rng.random_range(0..addresses.len())]
    }

    /// Sends a request and records its response. Returns whether the connection may carry another one.
    async fn call(
        &self,
        front: SocketAddr,
        connection: &mut Connection,
        id: String,
        path: &'static str,
        text: &str,
    ) -> bool {
        let sent_at = Instant::now();
        if connection.send(text).await.is_err() {
            // The front had closed the connection and read nothing of the request: there is nothing to check.
            return false;
        }
        let response = connection.answer().await.ok();
        let may_continue = response
            .as_ref()
            .is_some_and(|it| it.whole && it.header("connection") != Some("close"));
        let ended_at = Instant::now();
        self.records.borrow_mut().push(RequestRecord {
            id,
            path,
            front,
            response,
            sent_at,
            ended_at,
        });
        may_continue
    }
}

/// Runs one client: sends random requests to random fronts until the pool is stopping.
pub(crate) async fn run_client(pool: Rc<ClientPool>, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut idle: Option<(SocketAddr, Connection)> = None;
    while !pool.stopping.get() {
        sleep(Duration::from_millis(rng.random_range(1..MAX_PAUSE_MS))).await;
        if idle.is_none() {
            let address = pool.random_address(&mut rng);
            idle = Connection::open(address).await.ok().map(|it| (address, it));
        }
        let Some((front, mut connection)) = idle.take() else { continue };
        let paths = [
            ("POST", Paths::DIGEST),
            ("POST", Paths::TAG),
            ("POST", Paths::COUNT),
            ("GET", Paths::PANEL),
        ];
        let (method, path) = paths[rng.random_range(0..paths.len())];
        let id = pool.next_id();
        let text = request_text(&id, method, path, [Paths::DIGEST, Paths::TAG].contains(&path));
        let open = pool.call(front, &mut connection, id, path, &text).await;
        if open && rng.random_range(0..10) > 0 {
            idle = Some((front, connection));
        }
    }
}

/// Runs one client of long streams, up to as long as a front has for its shutdown. It draws from a generator of its own,
/// so that the other clients of a seed send the same requests with and without it.
pub(crate) async fn run_stream_client(pool: Rc<ClientPool>, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    while !pool.stopping.get() {
        sleep(Duration::from_millis(rng.random_range(1..MAX_STREAM_PAUSE_MS))).await;
        let front = pool.random_address(&mut rng);
        let Ok(mut connection) = Connection::open(front).await else { continue };
        let id = pool.next_id();
        let output_tokens = rng.random_range(1..=MAX_OUTPUT_TOKENS);
        let text = request_text(&id, "POST", Paths::PATIENT, true)
            .replace(&format!(",{OUTPUT_TOKENS}\r\n"), &format!(",{output_tokens}\r\n"));
        pool.call(front, &mut connection, id, Paths::PATIENT, &text).await;
    }
}

/// Runs one client that probes which configuration is in force at one front, on a connection that it keeps until the front
/// closes it.
pub(crate) async fn run_probing_client(pool: Rc<ClientPool>, front: usize, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut idle: Option<(SocketAddr, Connection)> = None;
    while !pool.stopping.get() {
        sleep(Duration::from_millis(rng.random_range(1..MAX_PROBE_PAUSE_MS))).await;
        if idle.is_none() {
            let address = pool.front_addresses.borrow()[front];
            idle = Connection::open(address).await.ok().map(|it| (address, it));
        }
        let Some((address, mut connection)) = idle.take() else { continue };
        let own = (pool.version.get() + 1).saturating_sub(rng.random_range(0..MAX_PROBE_AGE));
        let target = if rng.random_range(0..2) == 0 { Target::Moved } else { Target::Own(own) };
        let id = pool.next_id();
        let text = request_text(&id, "GET", &target.path(), false);
        let sent_at = Instant::now();
        if connection.send(&text).await.is_err() {
            continue;
        }
        let Ok(response) = connection.answer().await else { continue };
        let handled = match response.status {
            200 => {
                let worker = response.body.split(' ').next().unwrap_or_default();
                let service = pool.services.borrow().get(worker).copied();
                service.map(|it| Handled::By(it.to_owned()))
            }
            404 => Some(Handled::WithoutRoute),
            _ => None,
        };
        let ended_at = Instant::now();
        let is_open = response.whole && response.header("connection") != Some("close");
        let probe = Probe { id, front, address, target, handled, sent_at, ended_at };
        pool.probes.borrow_mut().push(probe);
        idle = is_open.then_some((address, connection));
    }
}

/// Runs one client that resumes its streams at any front, until they are whole or have been tried often enough.
pub(crate) async fn run_resuming_client(pool: Rc<ClientPool>, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    while !pool.stopping.get() {
        sleep(Duration::from_millis(rng.random_range(1..MAX_RESUMING_PAUSE_MS))).await;
        let breaks = if rng.random_range(0..3) == 0 { "2,4" } else { "" };
        let mut attempts: Vec<RequestRecord> = Vec::new();
        while attempts.len() < MAX_STREAM_ATTEMPTS && !is_whole(&attempts) {
            let Some(attempt) = pool.attempt_stream(&attempts, breaks, &mut rng).await else {
                break;
            };
            attempts.push(attempt);
            sleep(Duration::from_millis(rng.random_range(1..MAX_PAUSE_MS))).await;
        }
        pool.streams.borrow_mut().push(attempts);
    }
}

/// Runs one client whose prompts share their first part, and in a third of the cases have [`POISON`] after it.
pub(crate) async fn run_poisoning_client(pool: Rc<ClientPool>, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    while !pool.stopping.get() {
        sleep(Duration::from_millis(rng.random_range(1..MAX_POISONING_PAUSE_MS))).await;
        let front = pool.random_address(&mut rng);
        let is_poisoned = rng.random_range(0..3) == 0;
        let second = if is_poisoned { POISON.to_owned() } else { format!("e{}", seed % 7) };
        let id = pool.next_id();
        let text = request_text(&id, "POST", Paths::TAG, true)
            .replace(&format!("a{id}:100,"), &format!("c0:60,{second}:40,"));
        pool.send_beside_poison(front, id, Paths::TAG, &text, is_poisoned).await;
    }
}

/// Runs one client of calls that differ, but for a third of them, which are the one with the path [`CRASHING`].
pub(crate) async fn run_crashing_client(pool: Rc<ClientPool>, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    while !pool.stopping.get() {
        sleep(Duration::from_millis(rng.random_range(1..MAX_POISONING_PAUSE_MS))).await;
        let front = pool.random_address(&mut rng);
        let is_crashing = rng.random_range(0..3) == 0;
        let id = pool.next_id();
        let path = if is_crashing { CRASHING.to_owned() } else { format!("/panel/{id}") };
        let text = request_text(&id, "GET", Paths::PANEL, false).replacen("/panel/x", &path, 1);
        pool.send_beside_poison(front, id, Paths::PANEL, &text, is_crashing).await;
    }
}

impl ClientPool {
    /// Sends a request of a client some of whose requests end workers, and records it.
    async fn send_beside_poison(
        &self,
        front: SocketAddr,
        id: String,
        path: &'static str,
        text: &str,
        is_poisoned: bool,
    ) {
        let Ok(mut connection) = Connection::open(front).await else { return };
        let sent_at = Instant::now();
        if connection.send(text).await.is_err() {
            return;
        }
        let response = connection.answer().await.ok();
        let ended_at = Instant::now();
        let record = RequestRecord { id, path, front, response, sent_at, ended_at };
        let records = if is_poisoned { &self.poisoned } else { &self.sound };
        records.borrow_mut().push(record);
    }

    /// Sends the first attempt at a stream, or the next one after others. `None` if the front can't be reached.
    async fn attempt_stream(
        &self,
        earlier: &[RequestRecord],
        breaks: &str,
        rng: &mut Pcg64Mcg,
    ) -> Option<RequestRecord> {
        let front = self.random_address(rng);
        let id = self.next_id();
        let mut headers = format!("{TELL_VERSION_HEADER}: 1\r\n");
        if !breaks.is_empty() {
            headers.push_str(&format!("{BREAK_HEADER}: {breaks}\r\n"));
        }
        let first = earlier.iter().find(|it| last_event(std::slice::from_ref(it)) > 0);
        if let Some(first) = first {
            let last = last_event(earlier);
            headers.push_str(&format!("Last-Event-Id: {last}\r\nResumes: {}\r\n", first.id));
        }
        let text = request_text(&id, "POST", Paths::DIGEST, true).replacen(
            "X-Model",
            &format!("{headers}X-Model"),
            1,
        );
        let mut connection = Connection::open(front).await.ok()?;
        let sent_at = Instant::now();
        connection.send(&text).await.ok()?;
        let response = connection.answer().await.ok();
        let ended_at = Instant::now();
        Some(RequestRecord { id, path: Paths::DIGEST, front, response, sent_at, ended_at })
    }
}
