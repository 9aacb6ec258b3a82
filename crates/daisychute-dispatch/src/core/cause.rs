//! What requests under which endpoints end have in common.

use crate::Fingerprint;

/// What requests under which endpoints end have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// A shared part of their prompts, by its key.
    Part(u64),
    /// They are the same request, sent again.
    Request(Fingerprint),
}

impl Cause {
    /// Whether both are parts, or both are requests.
    pub(crate) const fn is_like(self, other: Self) -> bool {
        matches!(
            (self, other),
            (Self::Part(_), Self::Part(_)) | (Self::Request(_), Self::Request(_))
        )
    }
}
