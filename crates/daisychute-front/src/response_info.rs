//! What a dialect reads from the head of an endpoint's response.

use std::time::Duration;

use daisychute_dispatch::{LoadSample, RequestRate};

/// How long an endpoint wants no requests from this front.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PauseRequest {
    /// Duration of the pause.
    pub duration: Duration,
    /// Whether the endpoint's value can't be meant, and `duration` is a bound in its place.
    pub bounded: bool,
}

/// What a response says about the rate of requests that its endpoint takes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LimitNotice {
    /// It names no limit.
    #[default]
    Absent,
    /// It names a limit, on the requests of all fronts together.
    Named(RequestRate),
    /// It names something that is no rate.
    Unreadable,
}

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
    /// How long the endpoint, which refused the request, wants no more of them from this front.
    pub pause: Option<PauseRequest>,
    /// The rate of requests that the endpoint takes.
    pub limit: LimitNotice,
    /// The body has a content encoding that wasn't requested.
    pub encoded: bool,
    /// The load report in the response headers, if there is one.
    pub load: Option<LoadSample>,
    /// How long the endpoint keeps an idle connection open, if it says so.
    pub keep_alive: Option<Duration>,
}
