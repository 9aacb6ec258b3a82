//! Listen addresses for the daemons of a deployment.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

use daisychute_standin::harness::HarnessError;
use socket2::{Domain, Socket, Type};

/// Number of addresses that this process has allocated.
static ALLOCATED: AtomicU16 = AtomicU16::new(0);

/// A loopback address and port that are reserved for a daemon until this is dropped.
///
/// A socket is bound to them but doesn't listen. With `SO_REUSEADDR`, which listeners set, a daemon can listen beside
/// it, as often as it is started, while the kernel gives the port to no one that asks for any port. It doesn't matter
/// that child processes have a copy of the socket until they execute their programs; one that listens would keep the
/// daemon from listening.
#[derive(Debug)]
pub struct ReservedAddr {
    addr: SocketAddr,
    _socket: Socket,
}

impl ReservedAddr {
    /// Reserves a port. Each call uses another address in 127.1.0.0/16.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub fn new() -> Result<Self, HarnessError> {
        let [high, low] = ALLOCATED.fetch_add(1, Ordering::Relaxed).to_be_bytes();
        Self::bind(Ipv4Addr::new(127, 1, high, low)).map_err(HarnessError::NoPort)
    }

    fn bind(ip: Ipv4Addr) -> io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::from((ip, 0)).into())?;
        let addr = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::Unsupported)?;
        Ok(Self { addr, _socket: socket })
    }

    /// The address and port.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }
}
