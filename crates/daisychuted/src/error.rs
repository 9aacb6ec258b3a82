//! Why the daemon can't run.

use std::io;
use std::net::SocketAddr;

use metrics_exporter_prometheus::BuildError;
use miette::Diagnostic;
use thiserror::Error;

/// Why the daemon can't run.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum DaemonError {
    /// An address can't be bound.
    #[error("{listener} can't listen at {addr}")]
    #[diagnostic(help(
        "another process may hold the address; on an agent's instance that is its predecessor"
    ))]
    Listen {
        /// The key in the settings.
        listener: &'static str,
        /// The address.
        addr: SocketAddr,
        /// What the system said.
        #[source]
        source: io::Error,
    },
    /// A listener failed while it served.
    #[error("the listener of {listener} failed")]
    Serve {
        /// The key in the settings.
        listener: &'static str,
        /// What the system said.
        #[source]
        source: io::Error,
    },
    /// The log can't be set up.
    #[error("the log can't be set up")]
    Log(#[from] log::SetLoggerError),
    /// The metrics can't be set up.
    #[error("the metrics can't be set up")]
    Metrics(#[from] BuildError),
    /// The signals can't be handled.
    #[error("the signals can't be handled")]
    Signals(#[source] io::Error),
    /// The front can't run.
    #[error("the front can't run")]
    Front(#[from] daisychute_front::FrontError),
}
