//! Nothing else gets a listen address of a deployment before its daemon listens on it, or while the daemon restarts.
//!
//! No other test may start processes beside this one: until they execute their programs they have copies of its sockets.

use std::error::Error;
use std::io;
use std::net::{SocketAddr, TcpListener};

use daisychute_testbed::ReservedAddr;
use socket2::{Domain, Socket, Type};

/// Binds without `SO_REUSEADDR`, as a search for a free port does.
fn bind_alone(addr: SocketAddr) -> io::Result<()> {
    Socket::new(Domain::IPV4, Type::STREAM, None)?.bind(&addr.into())
}

#[test]
fn address_is_kept_until_the_reservation_ends() -> Result<(), Box<dyn Error>> {
    let reserved = ReservedAddr::new()?;
    let addr = reserved.addr();
    assert!(bind_alone(addr).is_err(), "before the daemon starts");
    drop(TcpListener::bind(addr)?);
    assert!(bind_alone(addr).is_err(), "between two starts of the daemon");
    drop(TcpListener::bind(addr)?);
    drop(reserved);
    Ok(bind_alone(addr)?)
}
