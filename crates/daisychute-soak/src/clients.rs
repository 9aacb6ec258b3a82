//! Simulated clients, each with a persistent connection to a front.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use daisychute_platform_standin::{Connection, OUTPUT_TOKENS, Paths, request_text};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep};

use crate::checks::RequestRecord;

/// Upper bound of the random pause of a client before each request, in ms.
const MAX_PAUSE_MS: u64 = 40;

/// Upper bound of the random pause of a client of long streams before each of them, in ms.
const MAX_STREAM_PAUSE_MS: u64 = 1_000;
/// Output tokens of the longest streams. They take 7.2 s at the pace of the stand-ins; a front that shuts down gives its
/// requests 7.5 s.
const MAX_OUTPUT_TOKENS: u32 = 138;

/// The state that all simulated clients share.
#[derive(Debug, Default)]
pub(crate) struct ClientPool {
    /// The current client address of each front.
    pub(crate) front_addresses: RefCell<Vec<SocketAddr>>,
    /// The finished requests of all clients, in the order in which they ended.
    pub(crate) records: RefCell<Vec<RequestRecord>>,
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
