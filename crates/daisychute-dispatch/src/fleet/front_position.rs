//! Place of a front among those that share the endpoints.

/// Number of fronts that share the endpoints, and the place of this one in an order that is the same at all of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FrontPosition {
    /// Number of fronts, this one included; at least 1.
    pub count: usize,
    /// Number of fronts before this one; less than `count`.
    pub rank: usize,
    /// Whether the directory has told which fronts there are; otherwise there may be more than `count`.
    pub is_complete: bool,
}

impl FrontPosition {
    /// Creates a position among all fronts that there are. A count of zero counts as one, and a rank beyond the count as
    /// the last.
    #[must_use]
    pub const fn new(count: usize, rank: usize) -> Self {
        let count = if count == 0 { 1 } else { count };
        Self { count, rank: if rank < count { rank } else { count - 1 }, is_complete: true }
    }
}

impl Default for FrontPosition {
    /// The position of a front that knows no other, and not whether there are others.
    fn default() -> Self {
        Self { count: 1, rank: 0, is_complete: false }
    }
}
