//! What the head of an endpoint's answer says.

use std::time::Duration;

use daisychute_dispatch::LoadSample;

/// The facts of a response that decide what happens with it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ResponseInfo {
    /// It names the request that it answers.
    pub id_matches: bool,
    /// It carries the endpoint's signature.
    pub signed: bool,
    /// The endpoint states that it did not run the request.
    pub not_run: bool,
    /// Another endpoint has the address, or it takes another stage.
    pub misdirected: bool,
    /// The body is in an encoding that nobody asked for.
    pub encoded: bool,
    /// The load that came with it.
    pub load: Option<LoadSample>,
    /// How long the endpoint keeps the idle connection, where it says so.
    pub keep_alive: Option<Duration>,
}
