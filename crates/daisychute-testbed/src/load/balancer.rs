//! A load balancer in front of the entries: round robin over those that are ready.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use daisychute_standin::harness::Client;

/// Pause between two rounds of readiness checks of all entries.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// An entry that has not answered a readiness check within this time counts as not ready.
const READINESS_TIMEOUT: Duration = Duration::from_millis(500);

/// Distributes requests round robin over the entries whose last readiness check succeeded.
#[derive(Debug)]
pub(super) struct Balancer {
    /// The client address of each entry and whether it was ready at its last check.
    entries: Vec<(SocketAddr, Cell<bool>)>,
    /// Number of selections so far; the next one starts at this index, modulo the number of entries.
    selections: Cell<usize>,
}

impl Balancer {
    pub(super) fn new(entries: Vec<SocketAddr>) -> Self {
        let entries = entries.into_iter().map(|it| (it, Cell::new(true))).collect();
        Self { entries, selections: Cell::new(0) }
    }

    /// The client address of the entry for the next request; `None` while no entry is ready.
    pub(super) fn next_ready(&self) -> Option<SocketAddr> {
        let start = self.selections.get();
        self.selections.set(start + 1);
        let count = self.entries.len();
        let mut order = (0..count).map(|it| &self.entries[(start + it) % count]);
        order.find(|(_, ready)| ready.get()).map(|(addr, _)| *addr)
    }
}

/// Polls the readiness of every entry until its task is aborted.
pub(super) async fn poll_readiness(balancer: Rc<Balancer>) {
    loop {
        for (addr, ready) in &balancer.entries {
            ready.set(is_ready(*addr).await);
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

async fn is_ready(entry: SocketAddr) -> bool {
    let client = Client::new(entry);
    let response = actix_rt::time::timeout(READINESS_TIMEOUT, client.get("/readyz")).await;
    matches!(response, Ok(Ok(response)) if response.status.is_success())
}
