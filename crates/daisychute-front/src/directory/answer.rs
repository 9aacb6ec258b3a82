//! The answer of the directory to a call.

use crate::DirectoryError;

/// The result of a call, with the era in which the directory answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer<T> {
    /// The era of the directory. `None` if no answer arrived, or if a failed call says nothing about it. A directory
    /// without eras answers successful calls in era 0.
    pub era: Option<u64>,
    /// The result of the call.
    pub result: Result<T, DirectoryError>,
}

impl<T> Answer<T> {
    /// Creates the answer to a successful call.
    pub const fn ok(era: u64, value: T) -> Self {
        Self { era: Some(era), result: Ok(value) }
    }

    /// Creates the answer to a failed call. `era` is `None` if the directory didn't say it.
    #[must_use]
    pub const fn err(era: Option<u64>, error: DirectoryError) -> Self {
        Self { era, result: Err(error) }
    }
}
