//! The configuration of a deployment: classes, tenants, models and services.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    Class, ClassName, Model, ModelName, Service, ServiceName, TargetError, Tenant, TenantName,
};

/// What a deployment prefers if goodput and few role changes conflict.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Preference {
    /// As much work as possible completed within the targets of its class.
    #[default]
    Goodput,
    /// As few role changes of engines as possible.
    FewRoleChanges,
}

/// Configuration of a deployment. It is accepted or refused as a whole.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// What the deployment prefers if goodput and few role changes conflict.
    pub preference: Preference,
    /// Classes of work, by name.
    pub classes: BTreeMap<ClassName, Class>,
    /// Tenants, by name.
    // Invariant: every class that a tenant names is in `classes`.
    pub tenants: BTreeMap<TenantName, Tenant>,
    /// Models, by name.
    pub models: BTreeMap<ModelName, Model>,
    /// Plain services, by name.
    // Invariant: every class that a route names is in `classes`.
    pub services: BTreeMap<ServiceName, Service>,
}

/// Why a configuration is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigurationError {
    /// The targets of a class contradict each other.
    #[error("class {class}: {error}")]
    Targets {
        /// Class whose targets are refused.
        class: ClassName,
        /// Contradiction between the targets.
        error: TargetError,
    },
    /// A tenant names a class that does not exist.
    #[error("tenant {tenant} names the class {class}, which does not exist")]
    TenantClass {
        /// Tenant that names the class.
        tenant: TenantName,
        /// Class that isn't configured.
        class: ClassName,
    },
    /// A tenant's default class is not among its classes.
    #[error("the default class {class} of tenant {tenant} is not among its classes")]
    DefaultClass {
        /// Tenant with the default class.
        tenant: TenantName,
        /// Default class, which requests of the tenant may not name.
        class: ClassName,
    },
    /// Two tenants have the same token, so that their requests can't be distinguished.
    #[error("tenants {first} and {second} have the same token")]
    SharedToken {
        /// Tenant whose name sorts first.
        first: TenantName,
        /// Tenant whose name sorts second.
        second: TenantName,
    },
    /// A route names a class that does not exist.
    #[error("service {service} names the class {class}, which does not exist")]
    RouteClass {
        /// Service that the route belongs to.
        service: ServiceName,
        /// Class that isn't configured.
        class: ClassName,
    },
    /// A service has two routes with the same path.
    #[error("service {service} has the path {path} twice")]
    DuplicateRoute {
        /// Service that the routes belong to.
        service: ServiceName,
        /// Path that both routes have.
        path: String,
    },
}

impl Configuration {
    /// Checks the rules that involve several parts of the configuration.
    ///
    /// # Errors
    ///
    /// Returns the first of the [problems](Self::problems).
    pub fn check(&self) -> Result<(), ConfigurationError> {
        self.problems().into_iter().next().map_or(Ok(()), Err)
    }

    /// Returns all violations of the rules that [`check`](Self::check) checks.
    #[must_use]
    pub fn problems(&self) -> Vec<ConfigurationError> {
        let mut problems = Vec::new();
        problems.extend(self.classes.values().filter_map(target_problem));
        problems.extend(self.tenants.values().filter_map(|it| self.tenant_problem(it)));
        problems.extend(self.token_problems());
        problems.extend(self.services.values().filter_map(|it| self.service_problem(it)));
        problems
    }

    fn tenant_problem(&self, tenant: &Tenant) -> Option<ConfigurationError> {
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

    fn token_problems(&self) -> Vec<ConfigurationError> {
        let mut owners: BTreeMap<&str, &TenantName> = BTreeMap::new();
        let mut problems = Vec::new();
        for tenant in self.tenants.values() {
            let Some(token) = tenant.token.as_deref() else { continue };
            if let Some(first) = owners.insert(token, &tenant.name) {
                let (first, second) = (first.clone(), tenant.name.clone());
                problems.push(ConfigurationError::SharedToken { first, second });
            }
        }
        problems
    }

    fn service_problem(&self, service: &Service) -> Option<ConfigurationError> {
        let mut classes = service.routes.iter().filter_map(|it| it.class.as_ref());
        if let Some(class) = classes.find(|it| !self.classes.contains_key(*it)) {
            let (service, class) = (service.name.clone(), class.clone());
            return Some(ConfigurationError::RouteClass { service, class });
        }
        let mut paths = BTreeSet::new();
        let duplicate = service.routes.iter().find(|it| !paths.insert(it.path.as_str()))?;
        let (service, path) = (service.name.clone(), duplicate.path.clone());
        Some(ConfigurationError::DuplicateRoute { service, path })
    }
}

fn target_problem(class: &Class) -> Option<ConfigurationError> {
    let error = class.targets.check(class.precedence).err()?;
    Some(ConfigurationError::Targets { class: class.name.clone(), error })
}
