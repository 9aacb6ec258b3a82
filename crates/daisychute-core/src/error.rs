//! Errors of the checked types.

use thiserror::Error;

/// Why a string is no name.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NameError {
    /// The string is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The string is longer than [`NameError::MAX_LEN`] bytes.
    #[error("a name has at most {max} bytes, this one has {len}", max = Self::MAX_LEN)]
    TooLong {
        /// Length in bytes.
        len: usize,
    },
    /// The string holds a character that no name may hold.
    #[error("a name holds letters, digits, '.', '_' and '-', not {found:?}")]
    BadCharacter {
        /// The first such character.
        found: char,
    },
}

impl NameError {
    /// The longest name, in bytes.
    pub const MAX_LEN: usize = 63;
}
