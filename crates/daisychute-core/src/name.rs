//! Names as shared immutable strings, one type per kind of named thing.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::NameError;

fn check(raw: &str) -> Result<(), NameError> {
    if raw.is_empty() {
        return Err(NameError::Empty);
    }
    if raw.len() > NameError::MAX_LEN {
        return Err(NameError::TooLong { len: raw.len() });
    }
    match raw.chars().find(|c| !(c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-'))) {
        Some(found) => Err(NameError::BadCharacter { found }),
        None => Ok(()),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident,)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "Arc<str>", into = "Arc<str>")]
        pub struct $name(
            // Invariant: passes `check`.
            Arc<str>,
        );

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(raw: &str) -> Result<Self, NameError> {
                check(raw)?;
                Ok(Self(Arc::from(raw)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(raw: String) -> Result<Self, NameError> {
                Self::try_from(raw.as_str())
            }
        }

        impl TryFrom<Arc<str>> for $name {
            type Error = NameError;

            fn try_from(raw: Arc<str>) -> Result<Self, NameError> {
                check(&raw)?;
                Ok(Self(raw))
            }
        }

        impl From<$name> for Arc<str> {
            fn from(name: $name) -> Self {
                name.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }
    )*};
}

names! {
    /// Name of an adapter that an engine loads on top of a model.
    AdapterName,
    /// Name of a class of work.
    ClassName,
    /// Name of a data centre.
    DataCentreName,
    /// Name of a deployment, which has one configuration.
    DeploymentName,
    /// Name of an endpoint: a model engine or a worker of a plain service.
    EndpointName,
    /// Name of an instance, the machine that an endpoint or an entry runs on.
    InstanceName,
    /// Name of a model.
    ModelName,
    /// Version of a model's weights.
    ModelVersion,
    /// Name of a process of daisychute, unique in its region.
    ProcessName,
    /// Name of a region.
    RegionName,
    /// Name of a plain service.
    ServiceName,
    /// Version of the software that an endpoint runs. Versions have no order.
    SoftwareVersion,
    /// Name of a tenant.
    TenantName,
}
