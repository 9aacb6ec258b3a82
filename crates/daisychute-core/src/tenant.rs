//! Tenants, the accounts that requests are made for.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{ClassName, TenantName};

/// A tenant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name.
    pub name: TenantName,
    /// Bearer token that callers of this tenant present; none where the listener is trusted.
    pub token: Option<String>,
    /// The class of a request that names none.
    // Invariant: in `classes`.
    pub default_class: ClassName,
    /// The classes that its requests may name.
    pub classes: BTreeSet<ClassName>,
}

impl Tenant {
    /// Whether its requests may be in this class.
    #[must_use]
    pub fn may_use(&self, class: &ClassName) -> bool {
        self.classes.contains(class)
    }
}
