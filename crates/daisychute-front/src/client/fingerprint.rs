//! Fingerprints of requests.

use actix_http::RequestHead;
use daisychute_dispatch::{Fingerprint, RequestInfo};

use crate::client::body::Body;

/// Returns the fingerprint of a request: of its caller, method, host, path, query and body, but not of its id.
///
/// The hash is a cryptographic one, so that no client can give its request the fingerprint of another one.
pub(crate) fn fingerprint(
    head: &RequestHead,
    info: &RequestInfo,
    caller: Option<&[u8]>,
    body: &Body,
) -> Fingerprint {
    let fields = [
        caller.unwrap_or_default(),
        head.method.as_str().as_bytes(),
        info.host.as_bytes(),
        info.path.as_bytes(),
    ];
    let mut hasher = blake3::Hasher::new();
    for field in fields {
        // The length keeps the end of one field apart from the beginning of the next.
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    hasher.update(&(body.len() as u64).to_le_bytes());
    for segment in body.segments() {
        hasher.update(segment);
    }
    let [a, b, c, d, e, f, g, h, ..] = *hasher.finalize().as_bytes();
    Fingerprint::new(u64::from_le_bytes([a, b, c, d, e, f, g, h]))
}
