//! Stand-ins for the cases of the second review. Only the standard library is used; each connection has its own thread.

pub mod control_api;
pub mod engine;
pub mod front;
pub mod http;
pub mod json;
pub mod proxy;
pub mod record;
pub mod store;
pub mod worker;

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Name that all routes have as their host.
pub const HOST: &str = "ledger.example";

/// Returns loopback addresses that were free a moment ago, all different.
pub fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    let listeners = [(); N].map(|()| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    listeners.map(|it| it.local_addr().expect("an address"))
}

/// The wall clock, since the beginning of 1970.
pub fn wall_clock() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after 1970")
}

/// Whether the disruption of the case is to be brought about.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Exit codes of a case.
pub mod exit {
    /// The rule held.
    pub const HELD: i32 = 0;
    /// The rule was broken.
    pub const BROKEN: i32 = 1;
    /// The case couldn't run.
    pub const NOT_RUN: i32 = 2;
}
