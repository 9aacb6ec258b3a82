//! Addresses for the daemons of a deployment.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

use daisychute_standin::harness::HarnessError;

/// Counts the addresses that this process has given out.
static GIVEN: AtomicU16 = AtomicU16::new(0);

/// A loopback address and port that was free a moment ago.
///
/// Each is of a host number of its own. Outgoing connections have the first host number, so none can take the port
/// before the daemon listens there.
pub(crate) fn free_addr() -> Result<SocketAddr, HarnessError> {
    let [high, low] = GIVEN.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let ip = Ipv4Addr::new(127, 1, high, low);
    let listener = TcpListener::bind((ip, 0)).map_err(HarnessError::NoPort)?;
    listener.local_addr().map_err(HarnessError::NoPort)
}
