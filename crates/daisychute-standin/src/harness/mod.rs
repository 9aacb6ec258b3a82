//! Scaffolding for tests of whole processes.
//!
//! A test starts programs as children, waits on conditions, sends signals and asks over HTTP. Only tests use this; the
//! product starts no processes. Everything that waits is asynchronous, so that stand-ins in the same test go on.

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
pub use self::response::{Answer, Response};
pub use self::wait::{wait_for, wait_until};

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// The loopback address with port 0, which takes any free one.
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A port of the loopback address that was free a moment ago.
///
/// # Errors
///
/// No port is free.
pub fn free_port() -> Result<u16, HarnessError> {
    let listener = TcpListener::bind(ANY_PORT).map_err(HarnessError::NoPort)?;
    Ok(listener.local_addr().map_err(HarnessError::NoPort)?.port())
}
