//! Headers that aren't passed on.

use actix_http::header::{self, HeaderName};

/// Headers that concern a single connection (RFC 9110, section 7.6.1), and those that message framing sets anew.
pub const HOP_BY_HOP: [HeaderName; 11] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::EXPECT,
];
