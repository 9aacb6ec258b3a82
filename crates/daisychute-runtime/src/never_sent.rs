//! What a failed HTTP call tells of its effect.

use std::io;

use awc::error::{ConnectError, SendRequestError};

/// Whether a failure proves that no byte of the request left this process.
///
/// A connection that was opened and closed before an answer came is reported by `awc` as a
/// [`ConnectError::Disconnected`] too, and proves nothing.
#[must_use]
pub fn never_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(error) => never_connected(error),
        _ => false,
    }
}

fn never_connected(error: &ConnectError) -> bool {
    match error {
        ConnectError::Resolver(_) | ConnectError::NoRecords | ConnectError::Unresolved => true,
        ConnectError::Timeout => true,
        ConnectError::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
