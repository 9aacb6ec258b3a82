//! Clients that keep their connections until the front is gone.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use daisychute_platform_standin::{Connection, Paths, request_text};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep};

use crate::checks::Seen;

/// The pause of a client between two requests, in ms, at most.
const PAUSE_MS: u64 = 40;

/// What all clients share.
#[derive(Debug, Default)]
pub(crate) struct Crowd {
    /// Where each front listens at present.
    pub(crate) fronts: RefCell<Vec<SocketAddr>>,
    /// Requests so far.
    pub(crate) seen: RefCell<Vec<Seen>>,
    pub(crate) over: Cell<bool>,
    next: Cell<u64>,
}

impl Crowd {
    fn id(&self) -> String {
        self.next.set(self.next.get() + 1);
        // The calls that check the recovery count from one.
        format!("c{:015x}", self.next.get())
    }
}

/// Sends requests until the crowd goes home.
pub(crate) async fn client(crowd: Rc<Crowd>, seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut kept: Option<Connection> = None;
    while !crowd.over.get() {
        sleep(Duration::from_millis(random.random_range(1..PAUSE_MS))).await;
        if kept.is_none() {
            let address = {
                let fronts = crowd.fronts.borrow();
                fronts[random.random_range(0..fronts.len())]
            };
            kept = Connection::open(address).await.ok();
        }
        let Some(mut connection) = kept.take() else { continue };
        let paths = [
            ("POST", Paths::DIGEST),
            ("POST", Paths::TAG),
            ("POST", Paths::COUNT),
            ("GET", Paths::PANEL),
        ];
        let (method, path) = paths[random.random_range(0..paths.len())];
        let id = crowd.id();
        let generation = path == Paths::DIGEST || path == Paths::TAG;
        let text = request_text(&id, method, path, generation);
        let sent = Instant::now();
        if connection.send(&text).await.is_err() {
            // Nothing was read of it.
            continue;
        }
        let answer = connection.answer().await.ok();
        let closes =
            answer.as_ref().is_none_or(|it| !it.whole || it.header("connection") == Some("close"));
        crowd.seen.borrow_mut().push(Seen { id, path, answer, sent, ended: Instant::now() });
        if !closes && random.random_range(0..10) > 0 {
            kept = Some(connection);
        }
    }
}
