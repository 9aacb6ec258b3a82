//! What tells two calls with the same key apart.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

/// Digest of everything of a call that must be equal in a repeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallDigest(u128);

impl CallDigest {
    /// The digest of a call.
    #[must_use]
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3Default::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest128())
    }

    /// The upper and the lower half.
    #[must_use]
    pub const fn halves(self) -> (u64, u64) {
        ((self.0 >> 64) as u64, self.0 as u64)
    }

    /// The digest with these halves, upper first.
    #[must_use]
    pub const fn from_halves((upper, lower): (u64, u64)) -> Self {
        Self((upper as u128) << 64 | lower as u128)
    }
}
