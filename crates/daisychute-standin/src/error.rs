//! Why a stand-in could not start.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

/// Why a stand-in could not start.
#[derive(Debug, Error)]
pub enum StandinError {
    /// The address can't be listened on.
    #[error("can't listen on {addr}")]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// A file can't be read.
    #[error("can't read {}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A file holds something else than was expected.
    #[error("{} is malformed", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Where and why.
        source: serde_json::Error,
    },
    /// The signal handler can't be installed.
    #[error("can't wait for signals")]
    Signal(#[source] io::Error),
}
