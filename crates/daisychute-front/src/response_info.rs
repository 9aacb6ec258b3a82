//! What a dialect reads from the head of an endpoint's response.

use std::time::Duration;

use daisychute_dispatch::LoadSample;

/// The properties of a response that decide how it is handled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ResponseInfo {
    /// The response carries the id of the request that was sent.
    pub id_matches: bool,
    /// The response carries the endpoint's signature.
    pub signed: bool,
    /// The endpoint states that it did not run the request.
    pub not_run: bool,
    /// The request reached an endpoint other than the expected one, or one that doesn't serve this stage.
    pub misdirected: bool,
    /// The endpoint announces that it is leaving.
    pub leaving: bool,
    /// The body has a content encoding that wasn't requested.
    pub encoded: bool,
    /// The load report in the response headers, if there is one.
    pub load: Option<LoadSample>,
    /// How long the endpoint keeps an idle connection open, if it says so.
    pub keep_alive: Option<Duration>,
}
