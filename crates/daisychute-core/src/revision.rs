//! Numbers that order documents and leases in the platform store.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Counts the accepted changes of one document. A reader never goes back to a smaller revision.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(u64);

/// Counts the acquisitions of a lease, and serves as its fencing token: the holder of a smaller term has lost the
/// lease.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(u64);

macro_rules! counters {
    ($($name:ident)*) => {$(
        impl $name {
            /// Value before the first one.
            pub const ZERO: Self = Self(0);

            /// Creates the value with this number.
            #[must_use]
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the number.
            #[must_use]
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the next value.
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

counters! { Revision Term }
