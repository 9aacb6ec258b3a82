//! Numbers that order what is kept on the platform.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Counts the accepted changes of one document. A reader never goes back to a smaller one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(u64);

/// Counts the acquisitions of a lease. It fences: the holder of a smaller term has lost its authority.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(u64);

macro_rules! numbers {
    ($($name:ident)*) => {$(
        impl $name {
            /// Before the first.
            pub const ZERO: Self = Self(0);

            /// The one with this number.
            #[must_use]
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Its number.
            #[must_use]
            pub const fn get(self) -> u64 {
                self.0
            }

            /// The one that follows.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

numbers! { Revision Term }
