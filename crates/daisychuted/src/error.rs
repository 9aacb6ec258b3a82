//! Errors that prevent the daemon from starting or running.

use std::io;
use std::net::SocketAddr;

use metrics_exporter_prometheus::BuildError;
use miette::Diagnostic;
use thiserror::Error;

/// Errors that prevent the daemon from starting or running.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum DaemonError {
    /// A listener's address can't be bound.
    #[error("the {listener} listener can't bind {addr}")]
    #[diagnostic(help(
        "another process may be using the address, e.g. a previous process of this agent that hasn't ended yet"
    ))]
    Listen {
        /// Name of the listener, which is also its key in the settings.
        listener: &'static str,
        /// The configured address.
        addr: SocketAddr,
        /// The I/O error of the bind call.
        #[source]
        source: io::Error,
    },
    /// A listener that was bound can't serve.
    #[error("the {listener} listener failed")]
    Serve {
        /// Name of the listener, which is also its key in the settings.
        listener: &'static str,
        /// The I/O error that stopped the listener.
        #[source]
        source: io::Error,
    },
    /// The logger can't be installed.
    #[error("the logger can't be installed")]
    Log(#[from] log::SetLoggerError),
    /// The metrics recorder can't be installed.
    #[error("the metrics recorder can't be installed")]
    Metrics(#[from] BuildError),
    /// The signal handlers can't be installed.
    #[error("the signal handlers can't be installed")]
    Signals(#[source] io::Error),
    /// The front failed to start or while serving.
    #[error("the front failed")]
    Front(#[from] daisychute_front::FrontError),
}
