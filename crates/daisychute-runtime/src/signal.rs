//! Signals to the process.

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

/// Logs each SIGHUP, which would otherwise end the process at once, until the end of the process.
///
/// # Errors
///
/// Returns the error of the operating system if the signal handler can't be installed.
pub fn ignore_hangups() -> io::Result<()> {
    let mut hangups = signal(SignalKind::hangup())?;
    actix_rt::spawn(async move {
        while hangups.recv().await.is_some() {
            log::warn!("SIGHUP ignored; changed settings take effect at the next start");
        }
    });
    Ok(())
}
