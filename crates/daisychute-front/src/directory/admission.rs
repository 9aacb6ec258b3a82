//! Whether a record of an endpoint is applied as it is listed.

/// How a front applies the record of an endpoint that the directory lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The record is applied.
    AsListed,
    /// The endpoint was draining before the directory was restored, and still counts as draining.
    Draining,
    /// The endpoint was gone before the directory was restored; the record is ignored.
    Gone,
}
