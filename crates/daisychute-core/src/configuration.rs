//! The configuration of a deployment: classes, tenants, models and services.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{Class, ClassName, Model, ModelName, Service, ServiceName, Tenant, TenantName};

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
    /// A route names a class that does not exist.
    #[error("service {service} names the class {class}, which does not exist")]
    RouteClass {
        /// The service.
        service: ServiceName,
        /// The missing class.
        class: ClassName,
    },
}

impl Configuration {
    /// Checks what no single part can check by itself.
    ///
    /// # Errors
    ///
    /// The first part that names something that does not exist.
    pub fn check(&self) -> Result<(), ConfigurationError> {
        for tenant in self.tenants.values() {
            self.check_tenant(tenant)?;
        }
        for service in self.services.values() {
            self.check_service(service)?;
        }
        Ok(())
    }

    fn check_tenant(&self, tenant: &Tenant) -> Result<(), ConfigurationError> {
        if let Some(class) = tenant.classes.iter().find(|it| !self.classes.contains_key(*it)) {
            return Err(ConfigurationError::TenantClass {
                tenant: tenant.name.clone(),
                class: class.clone(),
            });
        }
        if !tenant.may_use(&tenant.default_class) {
            let class = tenant.default_class.clone();
            return Err(ConfigurationError::DefaultClass { tenant: tenant.name.clone(), class });
        }
        Ok(())
    }

    fn check_service(&self, service: &Service) -> Result<(), ConfigurationError> {
        let mut named = service.routes.iter().filter_map(|it| it.class.as_ref());
        match named.find(|it| !self.classes.contains_key(*it)) {
            Some(class) => Err(ConfigurationError::RouteClass {
                service: service.name.clone(),
                class: class.clone(),
            }),
            None => Ok(()),
        }
    }
}
