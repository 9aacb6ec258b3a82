//! Being asked to stop.

use std::io;

use tokio::signal::unix::{SignalKind, signal};

/// Waits until the process is asked to stop by SIGTERM or SIGINT.
///
/// # Errors
///
/// What the system says of installing the handlers.
pub async fn stop_requested() -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}
