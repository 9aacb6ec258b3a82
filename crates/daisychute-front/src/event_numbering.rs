//! How endpoints number the events of a stream.

/// How the endpoints of a deployment number the events of a stream. Numbers rise over all runs that contribute to it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum EventNumbering {
    /// Numbers increase, and some may be left out.
    #[default]
    Increasing,
    /// Numbers increase by one, from 0 or 1.
    Consecutive,
}
