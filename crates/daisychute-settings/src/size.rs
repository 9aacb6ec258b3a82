//! Sizes in bytes, written as `512`, `64KiB` or `4MiB`.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// Units and their numbers of bytes, from largest to smallest.
const UNITS: [(&str, u64); 4] = [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

/// A number of bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ByteSize(u64);

impl ByteSize {
    /// Creates a size from a number of bytes.
    #[must_use]
    pub const fn bytes(count: u64) -> Self {
        Self(count)
    }

    /// Creates a size from a number of KiB.
    #[must_use]
    pub const fn kib(count: u64) -> Self {
        Self(count << 10)
    }

    /// Creates a size from a number of MiB.
    #[must_use]
    pub const fn mib(count: u64) -> Self {
        Self(count << 20)
    }

    /// Returns the number of bytes.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the number of bytes as a `usize`, or `usize::MAX` if it doesn't fit.
    #[must_use]
    pub fn as_len(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

/// The text isn't a valid size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a size must be a whole number, optionally with the unit B, KiB, MiB or GiB")]
pub struct ParseByteSizeError;

impl FromStr for ByteSize {
    type Err = ParseByteSizeError;

    fn from_str(raw: &str) -> Result<Self, ParseByteSizeError> {
        let split = raw.find(|c: char| !c.is_ascii_digit()).unwrap_or(raw.len());
        let (digits, unit) = raw.split_at(split);
        let count: u64 = digits.parse().map_err(|_| ParseByteSizeError)?;
        let factor = bytes_per_unit(unit.trim_start()).ok_or(ParseByteSizeError)?;
        count.checked_mul(factor).map(Self).ok_or(ParseByteSizeError)
    }
}

fn bytes_per_unit(unit: &str) -> Option<u64> {
    if unit.is_empty() {
        return Some(1);
    }
    UNITS.iter().find(|(name, _)| *name == unit).map(|(_, factor)| *factor)
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_multiple = |factor: &u64| self.0 >= *factor && self.0.is_multiple_of(*factor);
        match UNITS.iter().find(|(_, factor)| is_multiple(factor)) {
            Some((unit, factor)) => write!(f, "{}{unit}", self.0 / factor),
            None => write!(f, "{}B", self.0),
        }
    }
}
