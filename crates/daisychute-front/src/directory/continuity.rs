//! Whether a listing continues what a front knows.

/// How a listing relates to the era of the directory and to the position from which it was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Continuity {
    /// The listing is applied.
    Continues,
    /// The listing was taken before a return of the directory that is known already. It is dropped.
    Outdated,
    /// The directory was restored since the position from which the changes were asked for: they aren't the changes since
    /// then, and a complete listing is needed.
    Restored,
}
