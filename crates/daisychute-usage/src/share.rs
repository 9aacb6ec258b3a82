//! What a front tells the holder about a window.

use std::collections::BTreeMap;

use daisychute_core::TenantName;
use serde::{Deserialize, Serialize};

use crate::WindowId;

/// Cumulative counts of one source in one window, or a piece of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageShare {
    /// Incarnation id of the front that counted.
    pub source: u64,
    /// The window.
    pub window: WindowId,
    /// Requests that began in the window, by tenant. One piece holds some of the tenants.
    pub counts: BTreeMap<TenantName, u64>,
    /// Sum of the counts of all pieces. Shows the receiver whether it has them all.
    pub total: u64,
    /// Whether the source ran from the beginning of the window.
    pub from_start: bool,
    /// Whether hardly any counts will be added: the window ended long enough ago.
    pub complete: bool,
}

impl UsageShare {
    /// Bytes that a share without counts takes at most as a CBOR map.
    pub const OVERHEAD: usize = 96;

    /// Bytes that the count of one tenant takes at most in CBOR: the name, its length, and the number.
    #[must_use]
    pub fn entry_size(tenant: &TenantName) -> usize {
        tenant.as_str().len() + 3 + 9
    }
}
