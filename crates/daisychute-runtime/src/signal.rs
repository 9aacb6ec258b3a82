//! Shutdown signals.

use std::io;

use tokio::signal::unix::{SignalKind, signal};

/// Waits until the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns the error of the operating system if a signal handler can't be installed.
pub async fn stop_requested() -> io::Result<()> {
    let mut sigterm = signal(SignalKind::terminate())?;
    let mut sigint = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = sigterm.recv() => {}
        _ = sigint.recv() => {}
    }
    Ok(())
}
