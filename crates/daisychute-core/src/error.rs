//! Errors of the validated types.

use thiserror::Error;

/// Why a string isn't a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NameError {
    /// The string is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The string is longer than [`NameError::MAX_LEN`] bytes.
    #[error("a name has at most {max} bytes, this one has {len}", max = Self::MAX_LEN)]
    TooLong {
        /// Length of the string, in bytes.
        len: usize,
    },
    /// The string contains a character that isn't allowed in names.
    #[error("a name holds letters, digits, '.', '_' and '-', not {found:?}")]
    BadCharacter {
        /// First character that isn't allowed.
        found: char,
    },
}

impl NameError {
    /// Maximum length of a name, in bytes.
    pub const MAX_LEN: usize = 63;
}
