//! Listen addresses for the daemons of a deployment.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

use daisychute_standin::harness::HarnessError;

/// Number of addresses that this process has allocated.
static ALLOCATED: AtomicU16 = AtomicU16::new(0);

/// Allocates a loopback address and a port that was free when it was checked.
///
/// Each call uses another address in 127.1.0.0/16. Outgoing connections come from 127.0.0.1, so none of them can take
/// the port before the daemon listens on it.
pub(crate) fn free_addr() -> Result<SocketAddr, HarnessError> {
    let [high, low] = ALLOCATED.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let ip = Ipv4Addr::new(127, 1, high, low);
    let listener = TcpListener::bind((ip, 0)).map_err(HarnessError::NoPort)?;
    listener.local_addr().map_err(HarnessError::NoPort)
}
