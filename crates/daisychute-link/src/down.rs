//! Why a connection ended.

use daisychute_proto::GoodbyeReason;
use thiserror::Error;

/// Why a connection ended or could not be established.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DownReason {
    /// Opening the socket or the handshake failed or timed out.
    #[error("the connection could not be opened: {0}")]
    Refused(String),
    /// The operating system refused the connection: no process listens at the address.
    #[error("no process listens at the address")]
    NoListener,
    /// The two sides support no common protocol version.
    #[error("the other side supports no common protocol version")]
    Version,
    /// No frame arrived within the heartbeat timeout.
    #[error("no frame arrived within the heartbeat timeout")]
    Silent,
    /// The socket was closed without a goodbye, or failed.
    #[error("the connection was lost: {0}")]
    Lost(String),
    /// The other side closed the connection with a goodbye frame.
    #[error("the other side closed the connection: {0:?}")]
    Goodbye(GoodbyeReason),
    /// The other side sent bytes that aren't a valid frame, or a frame that isn't allowed at this point.
    #[error("the other side violated the protocol: {0}")]
    Malformed(String),
    /// This side closed the connection because its owner has stopped.
    #[error("closed by this side")]
    Closed,
}
