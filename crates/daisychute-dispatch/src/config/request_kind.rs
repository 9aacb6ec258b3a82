//! Whether a request may be run again.

/// How often a request may run, and whether its response is a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request must run at most once.
    NonIdempotent,
    /// The response is a stream of events.
    Stream {
        /// Another run may continue after the last event that the client received.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether the request may be sent again after an attempt whose outcome is unknown.
    #[must_use]
    pub const fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the response is a stream.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
            Self::Stream { resumable: true } => "resumable_stream",
            Self::Stream { resumable: false } => "stream",
        }
    }
}
