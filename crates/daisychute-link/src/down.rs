//! Why a connection ended.

use daisychute_proto::GoodbyeReason;
use thiserror::Error;

/// Why a connection ended or never came up.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DownReason {
    /// The socket could not be opened, or the handshake failed or took too long.
    #[error("the connection could not be opened: {0}")]
    Refused(String),
    /// Nothing listens at the address.
    #[error("nothing listens at the address")]
    NoListener,
    /// The two sides speak no common version.
    #[error("the other side speaks no common version")]
    Version,
    /// Nothing was heard for too long.
    #[error("the connection went silent")]
    Silent,
    /// The socket was closed or failed.
    #[error("the connection was lost: {0}")]
    Lost(String),
    /// The other side said goodbye.
    #[error("the other side closed the connection: {0:?}")]
    Goodbye(GoodbyeReason),
    /// The other side sent what is no frame.
    #[error("the other side broke the protocol: {0}")]
    Malformed(String),
    /// This side closed it.
    #[error("closed by this side")]
    Closed,
}
