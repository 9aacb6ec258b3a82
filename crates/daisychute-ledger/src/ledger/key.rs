//! Idempotency keys.

use std::sync::Arc;

use daisychute_core::{RequestId, TenantName};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use uuid::Uuid;
use xxhash_rust::xxh3::Xxh3Default;

use crate::WallTime;

/// Why a string is no idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The key is empty.
    #[error("an idempotency key must not be empty")]
    Empty,
    /// The key is longer than [`CallKey::MAX_LEN`] bytes.
    #[error("an idempotency key has at most {max} bytes, this one has {len}", max = CallKey::MAX_LEN)]
    TooLong {
        /// Length in bytes.
        len: usize,
    },
}

/// Who chose an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum KeyOrigin {
    /// The caller, who may repeat it through any entry.
    Caller,
    /// The entry. No other entry ever sends it, so that it needs no owner.
    Entry,
}

/// The idempotency key of one non-repeatable call. Two tenants never share one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallKey {
    tenant: TenantName,
    // Invariant: neither empty nor longer than `MAX_LEN`.
    key: Arc<str>,
    origin: KeyOrigin,
}

impl CallKey {
    /// The longest key, in bytes.
    pub const MAX_LEN: usize = 256;

    /// A key that the caller gave.
    ///
    /// # Errors
    ///
    /// The key is empty or longer than [`CallKey::MAX_LEN`].
    pub fn from_caller(tenant: TenantName, key: &str) -> Result<Self, KeyError> {
        match key.len() {
            0 => Err(KeyError::Empty),
            len if len > Self::MAX_LEN => Err(KeyError::TooLong { len }),
            _ => Ok(Self { tenant, key: Arc::from(key), origin: KeyOrigin::Caller }),
        }
    }

    /// The key that an entry makes for a call that came without one.
    #[must_use]
    pub fn from_entry(tenant: TenantName, id: RequestId) -> Self {
        Self { tenant, key: Arc::from(id.to_string()), origin: KeyOrigin::Entry }
    }

    /// Who chose it.
    #[must_use]
    pub const fn origin(&self) -> KeyOrigin {
        self.origin
    }

    /// The tenant.
    #[must_use]
    pub const fn tenant(&self) -> &TenantName {
        &self.tenant
    }

    /// The key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.key
    }

    /// When the key was made, if it is a UUIDv7 and thus tells.
    #[must_use]
    pub fn made_at(&self) -> Option<WallTime> {
        let id = Uuid::try_parse(&self.key).ok()?;
        if id.get_version_num() != 7 {
            return None;
        }
        let (seconds, nanos) = id.get_timestamp()?.to_unix();
        Some(WallTime::from_millis(seconds * 1_000 + u64::from(nanos / 1_000_000)))
    }

    /// A hash that is the same in every process.
    #[must_use]
    pub fn hash64(&self) -> u64 {
        let mut hash = Xxh3Default::new();
        hash.update(self.tenant.as_str().as_bytes());
        hash.update(&[0]);
        hash.update(self.key.as_bytes());
        hash.digest()
    }

    /// Bytes of its two texts.
    #[must_use]
    pub fn len_bytes(&self) -> usize {
        self.tenant.as_str().len() + self.key.len()
    }
}
