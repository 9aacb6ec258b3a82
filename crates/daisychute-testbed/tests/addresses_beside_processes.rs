//! A daemon can listen on its address while the test starts other processes.

use std::error::Error;
use std::io;
use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use daisychute_testbed::ReservedAddr;

const SPAWNERS: usize = 4;
const ADDRESSES: usize = 10_000;

/// Starts processes until `stop` is set.
fn start_processes(stop: &AtomicBool) -> io::Result<()> {
    while !stop.load(Ordering::Relaxed) {
        Command::new("true").status()?;
    }
    Ok(())
}

/// A child process has the sockets of its parent until it executes its program.
#[test]
fn daemon_can_listen_beside_processes_that_start() -> Result<(), Box<dyn Error>> {
    let stop = AtomicBool::new(false);
    let failures = thread::scope(|scope| {
        let spawners = [(); SPAWNERS].map(|()| scope.spawn(|| start_processes(&stop)));
        let listen = || -> Result<bool, Box<dyn Error>> {
            let reserved = ReservedAddr::new()?;
            Ok(TcpListener::bind(reserved.addr()).is_err())
        };
        let failures =
            (0..ADDRESSES).map(|_| listen()).collect::<Result<Vec<bool>, Box<dyn Error>>>();
        stop.store(true, Ordering::Relaxed);
        for spawner in spawners {
            spawner.join().expect("no panic")?;
        }
        failures
    })?;
    let failures = failures.into_iter().filter(|it| *it).count();
    assert_eq!(failures, 0, "of {ADDRESSES} addresses are in use");
    Ok(())
}
