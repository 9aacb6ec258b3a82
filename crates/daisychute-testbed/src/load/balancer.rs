//! The balancer in front of the entries.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use daisychute_standin::harness::Client;

/// How often the readiness of every entry is asked.
const INTERVAL: Duration = Duration::from_millis(50);
/// How long an entry may take to say that it is ready.
const READY: Duration = Duration::from_millis(500);

/// Gives every request to the next entry that said that it is ready.
#[derive(Debug)]
pub(super) struct Balancer {
    entries: Vec<(SocketAddr, Cell<bool>)>,
    next: Cell<usize>,
}

impl Balancer {
    pub(super) fn new(entries: Vec<SocketAddr>) -> Self {
        let entries = entries.into_iter().map(|it| (it, Cell::new(true))).collect();
        Self { entries, next: Cell::new(0) }
    }

    /// The entry for the next request; none while no entry is ready.
    pub(super) fn choose(&self) -> Option<SocketAddr> {
        let start = self.next.get();
        self.next.set(start + 1);
        let count = self.entries.len();
        let mut order = (0..count).map(|it| &self.entries[(start + it) % count]);
        order.find(|(_, ready)| ready.get()).map(|(addr, _)| *addr)
    }
}

/// Follows the readiness of the entries until the task is dropped.
pub(super) async fn follow(balancer: Rc<Balancer>) {
    loop {
        for (addr, ready) in &balancer.entries {
            ready.set(is_ready(*addr).await);
        }
        actix_rt::time::sleep(INTERVAL).await;
    }
}

async fn is_ready(entry: SocketAddr) -> bool {
    let client = Client::new(entry);
    let answer = actix_rt::time::timeout(READY, client.get("/readyz")).await;
    matches!(answer, Ok(Ok(answer)) if answer.status.is_success())
}
