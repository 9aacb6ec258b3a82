//! The configuration of a deployment: classes, tenants, models and services.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    Class, ClassName, Model, ModelName, Service, ServiceName, TargetError, Tenant, TenantName,
};

/// What a deployment weighs more when both can't be had.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Preference {
    /// Work completed within its class target.
    #[default]
    Goodput,
    /// Few role changes.
    FewRoleChanges,
}

/// One accepted configuration. It is accepted or refused as a whole.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// What the deployment weighs more.
    pub preference: Preference,
    /// The classes of work.
    pub classes: BTreeMap<ClassName, Class>,
    /// The tenants.
    // Invariant: every class that a tenant names is in `classes`.
    pub tenants: BTreeMap<TenantName, Tenant>,
    /// The models.
    pub models: BTreeMap<ModelName, Model>,
    /// The plain services.
    // Invariant: every class that a route names is in `classes`.
    pub services: BTreeMap<ServiceName, Service>,
}

/// Why a configuration is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigurationError {
    /// The targets of a class contradict each other.
    #[error("class {class}: {error}")]
    Targets {
        /// The class.
        class: ClassName,
        /// Which of them, and why.
        error: TargetError,
    },
    /// A tenant names a class that does not exist.
    #[error("tenant {tenant} names the class {class}, which does not exist")]
    TenantClass {
        /// The tenant.
        tenant: TenantName,
        /// The missing class.
        class: ClassName,
    },
    /// A tenant's default class is not among its classes.
    #[error("the default class {class} of tenant {tenant} is not among its classes")]
    DefaultClass {
        /// The tenant.
        tenant: TenantName,
        /// Its default class.
        class: ClassName,
    },
    /// Two tenants present the same token, so that their requests can't be told apart.
    #[error("tenants {first} and {second} have the same token")]
    SharedToken {
        /// One of them.
        first: TenantName,
        /// The other.
        second: TenantName,
    },
    /// A route names a class that does not exist.
    #[error("service {service} names the class {class}, which does not exist")]
    RouteClass {
        /// The service.
        service: ServiceName,
        /// The missing class.
        class: ClassName,
    },
    /// A service has two routes of the same path.
    #[error("service {service} has the path {path} twice")]
    DuplicateRoute {
        /// The service.
        service: ServiceName,
        /// The path.
        path: String,
    },
}

impl Configuration {
    /// Checks what no single part can check by itself.
    ///
    /// # Errors
    ///
    /// The first of the [problems](Self::problems).
    pub fn check(&self) -> Result<(), ConfigurationError> {
        self.problems().into_iter().next().map_or(Ok(()), Err)
    }

    /// All that no single part can check by itself and that is wrong.
    #[must_use]
    pub fn problems(&self) -> Vec<ConfigurationError> {
        let mut faults = Vec::new();
        faults.extend(self.classes.values().filter_map(target_fault));
        faults.extend(self.tenants.values().filter_map(|it| self.tenant_fault(it)));
        faults.extend(self.token_faults());
        faults.extend(self.services.values().filter_map(|it| self.service_fault(it)));
        faults
    }

    fn tenant_fault(&self, tenant: &Tenant) -> Option<ConfigurationError> {
        if let Some(class) = tenant.classes.iter().find(|it| !self.classes.contains_key(*it)) {
            let (tenant, class) = (tenant.name.clone(), class.clone());
            return Some(ConfigurationError::TenantClass { tenant, class });
        }
        if !tenant.may_use(&tenant.default_class) {
            let (tenant, class) = (tenant.name.clone(), tenant.default_class.clone());
            return Some(ConfigurationError::DefaultClass { tenant, class });
        }
        None
    }

    fn token_faults(&self) -> Vec<ConfigurationError> {
        let mut owners: BTreeMap<&str, &TenantName> = BTreeMap::new();
        let mut faults = Vec::new();
        for tenant in self.tenants.values() {
            let Some(token) = tenant.token.as_deref() else { continue };
            if let Some(first) = owners.insert(token, &tenant.name) {
                let (first, second) = (first.clone(), tenant.name.clone());
                faults.push(ConfigurationError::SharedToken { first, second });
            }
        }
        faults
    }

    fn service_fault(&self, service: &Service) -> Option<ConfigurationError> {
        let mut named = service.routes.iter().filter_map(|it| it.class.as_ref());
        if let Some(class) = named.find(|it| !self.classes.contains_key(*it)) {
            let (service, class) = (service.name.clone(), class.clone());
            return Some(ConfigurationError::RouteClass { service, class });
        }
        let mut paths = BTreeSet::new();
        let twice = service.routes.iter().find(|it| !paths.insert(it.path.as_str()))?;
        let (service, path) = (service.name.clone(), twice.path.clone());
        Some(ConfigurationError::DuplicateRoute { service, path })
    }
}

fn target_fault(class: &Class) -> Option<ConfigurationError> {
    let error = class.targets.check(class.precedence).err()?;
    Some(ConfigurationError::Targets { class: class.name.clone(), error })
}
