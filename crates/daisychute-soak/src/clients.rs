//! Simulated clients, each with a persistent connection to a front.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use daisychute_platform_standin::{Connection, Paths, request_text};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep};

use crate::checks::RequestRecord;

/// Upper bound of the random pause of a client before each request, in ms.
const MAX_PAUSE_MS: u64 = 40;

/// One in this many requests is a long stream.
const PATIENT_INTERVAL: u32 = 20;

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
}

/// Runs one client: sends random requests to random fronts until the pool is stopping.
pub(crate) async fn run_client(pool: Rc<ClientPool>, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut idle: Option<(SocketAddr, Connection)> = None;
    while !pool.stopping.get() {
        sleep(Duration::from_millis(rng.random_range(1..MAX_PAUSE_MS))).await;
        if idle.is_none() {
            let address = {
                let addresses = pool.front_addresses.borrow();
                addresses[rng.random_range(0..addresses.len())]
            };
            idle = Connection::open(address).await.ok().map(|it| (address, it));
        }
        let Some((front, mut connection)) = idle.take() else { continue };
        // Rarely, since a client has one request at a time.
        let is_patient = rng.random_range(0..PATIENT_INTERVAL) == 0;
        let paths = [
            ("POST", Paths::DIGEST),
            ("POST", Paths::TAG),
            ("POST", Paths::COUNT),
            ("GET", Paths::PANEL),
        ];
        let (method, path) = match paths[rng.random_range(0..paths.len())] {
            _ if is_patient => ("POST", Paths::PATIENT),
            usual => usual,
        };
        let id = pool.next_id();
        let generation = [Paths::DIGEST, Paths::TAG, Paths::PATIENT].contains(&path);
        let text = request_text(&id, method, path, generation);
        let sent_at = Instant::now();
        if connection.send(&text).await.is_err() {
            // The front had closed the connection and read nothing of the request: there is nothing to check.
            continue;
        }
        let response = connection.answer().await.ok();
        let must_close = response
            .as_ref()
            .is_none_or(|it| !it.whole || it.header("connection") == Some("close"));
        pool.records.borrow_mut().push(RequestRecord {
            id,
            path,
            front,
            response,
            sent_at,
            ended_at: Instant::now(),
        });
        if !must_close && rng.random_range(0..10) > 0 {
            idle = Some((front, connection));
        }
    }
}
