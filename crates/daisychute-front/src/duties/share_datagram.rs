//! Datagrams with the requests that a front counted.

use daisychute_usage::UsageShare;
use serde::{Deserialize, Serialize};

/// First element of the datagram. Fronts of older builds read a number there and drop the datagram.
const FORMAT: &str = "usage";
/// Maximum size of the share in a datagram, so that it fits into one packet on most networks: 1,400 bytes without the
/// format.
pub(crate) const MAX_SHARE_BYTES: usize = 1_384;

/// The format, and counts of one window.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct ShareDatagram(String, UsageShare);

/// Encodes a share; `None` if it can't be encoded.
pub(crate) fn encode(share: UsageShare) -> Option<Vec<u8>> {
    let mut bytes = Vec::with_capacity(MAX_SHARE_BYTES);
    ciborium::into_writer(&ShareDatagram(FORMAT.to_owned(), share), &mut bytes).ok()?;
    Some(bytes)
}

/// Returns the share in a datagram; `None` if it has another format.
pub(crate) fn decode(bytes: &[u8]) -> Option<UsageShare> {
    let ShareDatagram(format, share) = ciborium::from_reader(bytes).ok()?;
    (format == FORMAT).then_some(share)
}
