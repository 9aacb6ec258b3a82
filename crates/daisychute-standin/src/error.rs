//! Errors of starting a stand-in.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

/// The reason why a stand-in can't start.
#[derive(Debug, Error)]
pub enum StandinError {
    /// The listening socket can't be bound.
    #[error("can't listen on {addr}")]
    Bind {
        /// Address that was to be bound.
        addr: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file of instance records can't be read.
    #[error("can't read {}", path.display())]
    Read {
        /// Path given on the command line.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file of instance records isn't a JSON array of records.
    #[error("{} is malformed", path.display())]
    Malformed {
        /// Path given on the command line.
        path: PathBuf,
        /// Error of the JSON parser, with its position.
        source: serde_json::Error,
    },
    /// The signal handler can't be installed.
    #[error("can't wait for signals")]
    Signal(#[source] io::Error),
}
