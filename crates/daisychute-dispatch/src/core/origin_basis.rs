//! How a front knows where a stream began.

/// How a front knows where the stream began that a client resumes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OriginBasis {
    /// This front or another one saw its first event.
    Seen,
    /// A read of the directory that began after the request arrived left only one possibility.
    Read,
    /// It doesn't know.
    Unknown,
}

impl OriginBasis {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Seen => "seen",
            Self::Read => "read",
            Self::Unknown => "unknown",
        }
    }
}
