//! Tells failed HTTP calls that were never sent from those that may have had an effect.

use std::io;

use awc::error::{ConnectError, SendRequestError};

/// Whether `error` proves that no byte of the request left this process.
///
/// [`ConnectError::Disconnected`] proves nothing: `awc` also returns it for a connection that was opened and then
/// closed before a response arrived.
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
