//! Numbers that order documents and leases in the platform store.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Counts the accepted changes of one document. A reader never goes back to a smaller revision.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(u64);

/// Counts how often the platform store was restored from an older copy. A restored store forgets what it has acknowledged
/// since that copy, but never its era. 0 if the store names none.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(u64);

/// Orders the acquisitions of a lease, and serves as its fencing token: the holder of a smaller term has lost the lease.
///
/// The upper half is the [`Era`] of the store in which the lease was acquired, the lower half counts the acquisitions since
/// the first known one. So no term of one era is used again in a later one, though the store may have forgotten it.
///
/// ```
/// use daisychute_core::{Era, Term};
///
/// let forgotten = Term::new(41).next();
/// assert!(Term::first_in(Era::new(1)) > forgotten);
/// assert_eq!(Term::first_in(Era::new(3)).next().era(), Era::new(3));
/// ```
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

counters! { Revision Era Term }

impl Term {
    /// Number of bits below the era.
    const COUNT_BITS: u32 = 32;

    /// Returns the lowest term of an era.
    #[must_use]
    pub const fn first_in(era: Era) -> Self {
        let era = if era.0 < u32::MAX as u64 { era.0 } else { u32::MAX as u64 };
        Self((era << Self::COUNT_BITS) + 1)
    }

    /// Returns the era in which the lease was acquired.
    #[must_use]
    pub const fn era(self) -> Era {
        Era(self.0 >> Self::COUNT_BITS)
    }
}
