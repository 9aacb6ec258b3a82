//! What may be repeated.

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum RequestKind {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once.
    NonIdempotent,
    /// Its answer is a stream of events.
    Stream {
        /// Another run may go on after the last event that was passed on.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether it may run again after a run that has an unknown end.
    #[must_use]
    pub const fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// Its name in logs and metrics.
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
