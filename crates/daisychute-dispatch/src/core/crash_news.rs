//! News between fronts about endpoints that end.

use std::sync::Arc;

use daisychute_core::Time;

use crate::{Cause, Quarantine};

/// What a front tells the others about endpoints that end, and about what they end under.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashNews {
    /// An endpoint ended before it had responded to a request.
    EndpointEnded {
        /// Identifies the start of the endpoint among the fronts, as [`Incarnation::id`](crate::Incarnation::id)
        /// computes it.
        endpoint: u64,
        /// Shared parts of the request's prompt in order, or requests that the endpoint had; not both.
        suspects: Arc<[Suspect]>,
        /// Whether the endpoint had begun to respond to the request.
        begun: bool,
        /// When the front lost the endpoint.
        at: Time,
    },
    /// Some requests aren't sent to endpoints.
    Quarantined(Quarantine),
    /// A request was answered completely.
    Sound {
        /// The request, or a part of its prompt.
        cause: Cause,
        /// When the response ended.
        at: Time,
    },
}

impl CrashNews {
    /// Whether the news is about requests, and not about prompt parts.
    #[must_use]
    pub fn is_about_requests(&self) -> bool {
        let cause = match self {
            Self::EndpointEnded { suspects, .. } => suspects.first().map(|it| it.cause),
            Self::Quarantined(quarantine) => Some(quarantine.cause),
            Self::Sound { cause, .. } => Some(*cause),
        };
        matches!(cause, Some(Cause::Request(_)))
    }
}

/// Request under which an endpoint ended, or a part of its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspect {
    /// The request or the part.
    pub cause: Cause,
    /// Whether the front that lost the endpoint knows of a complete response to an earlier request with this cause.
    pub was_sound: bool,
}
