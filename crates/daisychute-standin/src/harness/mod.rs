//! Harness for tests with real processes.
//!
//! A test starts programs as child processes, sends signals and HTTP requests, and waits for conditions. For tests and
//! tools only: the product itself starts no processes. All waiting is asynchronous, so that stand-ins on the same
//! thread keep running.

mod client;
mod error;
mod output;
mod process;
mod program;
mod response;
mod wait;

pub use self::client::Client;
pub use self::error::HarnessError;
pub use self::process::Process;
pub use self::program::Program;
pub use self::response::{FullResponse, Response};
pub use self::wait::{wait_for, wait_until};

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Loopback address with port 0, which binds to any free port.
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Returns a port of the loopback address that is free at present. Another process may take it before it is used.
///
/// # Errors
///
/// No free port can be reserved.
pub fn free_port() -> Result<u16, HarnessError> {
    let listener = TcpListener::bind(ANY_PORT).map_err(HarnessError::NoPort)?;
    Ok(listener.local_addr().map_err(HarnessError::NoPort)?.port())
}
