//! Sizes in bytes, as `512`, `64KiB` or `4MiB`.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// The units, from the largest to the smallest.
const UNITS: [(&str, u64); 4] = [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

/// A number of bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ByteSize(u64);

impl ByteSize {
    /// So many bytes.
    #[must_use]
    pub const fn bytes(count: u64) -> Self {
        Self(count)
    }

    /// So many KiB.
    #[must_use]
    pub const fn kib(count: u64) -> Self {
        Self(count << 10)
    }

    /// So many MiB.
    #[must_use]
    pub const fn mib(count: u64) -> Self {
        Self(count << 20)
    }

    /// The number of bytes.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The number of bytes as a length in memory; the largest length where it does not fit.
    #[must_use]
    pub fn as_len(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

/// The text is no size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a size is a whole number with B, KiB, MiB, GiB or no unit")]
pub struct ParseByteSizeError;

impl FromStr for ByteSize {
    type Err = ParseByteSizeError;

    fn from_str(raw: &str) -> Result<Self, ParseByteSizeError> {
        let split = raw.find(|c: char| !c.is_ascii_digit()).unwrap_or(raw.len());
        let (digits, unit) = raw.split_at(split);
        let count: u64 = digits.parse().map_err(|_| ParseByteSizeError)?;
        let factor = factor(unit.trim_start()).ok_or(ParseByteSizeError)?;
        count.checked_mul(factor).map(Self).ok_or(ParseByteSizeError)
    }
}

fn factor(unit: &str) -> Option<u64> {
    if unit.is_empty() {
        return Some(1);
    }
    UNITS.iter().find(|(name, _)| *name == unit).map(|(_, factor)| *factor)
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = |factor: &u64| self.0 >= *factor && self.0.is_multiple_of(*factor);
        match UNITS.iter().find(|(_, factor)| whole(factor)) {
            Some((unit, factor)) => write!(f, "{}{unit}", self.0 / factor),
            None => write!(f, "{}B", self.0),
        }
    }
}
