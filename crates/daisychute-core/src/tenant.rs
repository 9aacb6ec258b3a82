//! Tenants: the client accounts that requests belong to.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{ClassName, TenantName};

/// A client account, with its token and the classes it may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// Name of the tenant, unique in the configuration.
    pub name: TenantName,
    /// Bearer token that clients of this tenant present; `None` if the listener is trusted.
    pub token: Option<String>,
    /// Class of requests that name none.
    // Invariant: in `classes`.
    pub default_class: ClassName,
    /// Classes that requests of the tenant may name.
    pub classes: BTreeSet<ClassName>,
}

impl Tenant {
    /// Whether requests of the tenant may name this class.
    #[must_use]
    pub fn may_use(&self, class: &ClassName) -> bool {
        self.classes.contains(class)
    }
}
