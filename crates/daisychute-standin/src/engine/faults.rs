//! Faults that a test injects into the engine.

use serde::{Deserialize, Serialize};

/// How a crash shows to clients of the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Crash {
    /// The process exits.
    Exit,
    /// The engine loses its volatile state and restarts at once with its configured target.
    Reset,
}

/// Faults to inject. `POST /_standin/faults` replaces all of them; a missing field is off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// The next change crashes after half of its duration.
    pub crash_change: Option<Crash>,
    /// The engine crashes at the end of the next step after which a request is still running.
    pub crash_running: Option<Crash>,
    /// Number of next completion requests that are refused with 503.
    pub refuse: u32,
    /// Completion requests are accepted but never run and get no response.
    pub hang: bool,
    /// Number of next streams whose connection is closed after `cut_after` tokens.
    pub cut_streams: u32,
    /// Number of tokens that a cut stream sends before its connection is closed.
    pub cut_after: u32,
    /// Whether a cut also discards the request, so that it can't be resumed.
    pub cut_loses: bool,
    /// Number of next responses that are truncated: the connection is closed after half of the body, or of an event.
    pub truncate: u32,
    /// Number of next responses that contain malformed JSON.
    pub garbage: u32,
    /// Number of next orders that are refused with 503.
    pub refuse_orders: u32,
    /// Number of next orders that take effect but get no response: the connection is closed instead.
    pub lose_orders: u32,
}

/// Faults that apply to one response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct ResponseFault {
    /// Index of the token before which the connection is closed; `None` for no cut.
    pub(super) cut_after: Option<u32>,
    pub(super) cut_loses: bool,
    pub(super) truncate: bool,
    pub(super) garbage: bool,
}

impl EngineFaults {
    /// Consumes one occurrence of a counted fault. Returns whether one was left.
    pub(super) fn take(count: &mut u32) -> bool {
        let taken = *count > 0;
        *count = count.saturating_sub(1);
        taken
    }

    /// Consumes the faults that apply to the next response.
    pub(super) fn take_response_fault(&mut self, streamed: bool) -> ResponseFault {
        let cut = streamed && Self::take(&mut self.cut_streams);
        ResponseFault {
            cut_after: cut.then_some(self.cut_after),
            cut_loses: cut && self.cut_loses,
            truncate: Self::take(&mut self.truncate),
            garbage: Self::take(&mut self.garbage),
        }
    }
}
