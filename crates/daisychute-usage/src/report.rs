//! The report of a window.

use std::collections::BTreeMap;

use daisychute_core::TenantName;
use serde::{Deserialize, Serialize};

use crate::WindowId;

/// Counts of a window over all sources, as sent to the API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The window.
    pub window: WindowId,
    /// Requests that began in the window, by tenant.
    pub counts: BTreeMap<TenantName, u64>,
}

impl UsageReport {
    /// Requests of all tenants.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.counts.values().fold(0, |sum, &it| sum.saturating_add(it))
    }
}
