//! Sections `[platform]` and `[peers]`: where shared state is read from.

use std::net::SocketAddr;

use daisychute_core::DeploymentName;

use crate::BaseUrl;
use crate::field::raw_section;
use crate::problem::Problems;
use crate::rule::{Addresses, Name, Url};

raw_section! {
    /// Section `[platform]` as it stands in the file.
    RawPlatform {
        url = "url",
        deployment = "deployment",
    }
}

raw_section! {
    /// Section `[peers]` as it stands in the file.
    RawPeers {
        seeds = "seeds",
    }
}

/// The platform's object API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Its base URL.
    pub url: BaseUrl,
    /// The deployment, which names the configuration object.
    pub deployment: DeploymentName,
}

/// Other processes of the system.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerSettings {
    /// Inner addresses of entries and agents that are asked for configuration and plan while the platform is down.
    pub seeds: Vec<SocketAddr>,
}

impl TryFrom<&RawPlatform> for PlatformSettings {
    type Error = Problems;

    fn try_from(raw: &RawPlatform) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let url = problems.keep(raw.url.required(&Url));
        let deployment = problems.keep(raw.deployment.required(&Name::new()));
        match (url, deployment) {
            (Some(url), Some(deployment)) => Ok(Self { url, deployment }),
            _ => Err(problems),
        }
    }
}

impl TryFrom<&RawPeers> for PeerSettings {
    type Error = Problems;

    fn try_from(raw: &RawPeers) -> Result<Self, Problems> {
        let seeds = raw.seeds.or(Vec::new(), &Addresses)?;
        Ok(Self { seeds })
    }
}
