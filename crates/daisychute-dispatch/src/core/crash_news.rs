//! News between fronts about endpoints that end.

use std::sync::Arc;

use daisychute_core::Time;

use crate::Quarantine;

/// What a front tells the others about prompt parts under which engines end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashNews {
    /// An engine ended before it had responded to a request.
    EngineEnded {
        /// Identifies the start of the engine among the fronts, as [`Incarnation::id`](crate::Incarnation::id) computes it.
        engine: u64,
        /// Shared parts of the request's prompt, in order.
        parts: Arc<[Suspect]>,
        /// Whether the engine had begun to respond to the request.
        begun: bool,
        /// When the front lost the engine.
        at: Time,
    },
    /// Requests with a part aren't sent to engines.
    Quarantined(Quarantine),
    /// A request with a part was answered completely.
    Sound {
        /// Key of the part.
        part: u64,
        /// When the response ended.
        at: Time,
    },
}

/// Part of a prompt under which an engine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspect {
    /// Key of the part.
    pub key: u64,
    /// Whether the front that lost the engine knows of a complete response to an earlier request with the part.
    pub was_sound: bool,
}
