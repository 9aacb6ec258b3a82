//! Sections `[platform]` and `[peers]`: sources of shared state.

use std::net::SocketAddr;

use daisychute_core::DeploymentName;

use crate::BaseUrl;
use crate::field::raw_section;
use crate::problem::Problems;
use crate::rule::{Addresses, Name, Url};

raw_section! {
    /// Unchecked section `[platform]`.
    RawPlatform {
        url = "url",
        deployment = "deployment",
    }
}

raw_section! {
    /// Unchecked section `[peers]`.
    RawPeers {
        seeds = "seeds",
    }
}

/// Access to the platform's object API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Base URL of the object API.
    pub url: BaseUrl,
    /// Name of the deployment, which is also the name of its configuration object.
    pub deployment: DeploymentName,
}

/// Processes to fetch shared state from while the platform is unreachable.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerSettings {
    /// Inner addresses of entries and agents to fetch the configuration and the plan from while the platform is
    /// unreachable.
    pub seeds: Vec<SocketAddr>,
}

impl TryFrom<&RawPlatform> for PlatformSettings {
    type Error = Problems;

    fn try_from(raw: &RawPlatform) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let url = problems.record(raw.url.required(&Url));
        let deployment = problems.record(raw.deployment.required(&Name::new()));
        match (url, deployment) {
            (Some(url), Some(deployment)) => Ok(Self { url, deployment }),
            _ => Err(problems),
        }
    }
}

impl TryFrom<&RawPeers> for PeerSettings {
    type Error = Problems;

    fn try_from(raw: &RawPeers) -> Result<Self, Problems> {
        let seeds = raw.seeds.optional_or(Vec::new(), &Addresses)?;
        Ok(Self { seeds })
    }
}
