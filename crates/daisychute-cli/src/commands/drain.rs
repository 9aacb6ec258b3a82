//! `drain` and `undrain`: what operators ask of an endpoint.

use daisychute_core::{Drains, EndpointName, RegionName};
use daisychute_store::{Object, ObjectClient, ObjectKind};
use serde::{Deserialize, Serialize};

use crate::commit::{Committed, commit};
use crate::context::{Context, parse, read, spec};
use crate::error::{CliError, Exit};
use crate::output::Answer;

/// How often the request is merged with those of other operators.
const ATTEMPTS: u32 = 5;

#[derive(Serialize)]
struct Asked {
    region: RegionName,
    endpoint: EndpointName,
    drain: bool,
    /// Whether it was asked before, so that nothing was written.
    unchanged: bool,
}

impl Answer for Asked {
    fn text(&self, _width: u16) -> String {
        let Self { region, endpoint, .. } = self;
        let state = if self.drain { "is to be drained" } else { "is to take work" };
        let already = if self.unchanged { " already" } else { "" };
        format!("{region}: {endpoint} {state}{already}")
    }
}

#[derive(Deserialize)]
struct Named {
    endpoint: EndpointName,
}

pub(super) async fn drain(
    cx: &Context,
    endpoint: EndpointName,
    drain: bool,
) -> Result<Exit, CliError> {
    let region = cx.region()?;
    let client = cx.client()?;
    for _ in 0..ATTEMPTS {
        let present = read(&client, ObjectKind::Drains, region.as_str()).await?;
        let mut drains: Drains = present.as_ref().map(parse).transpose()?.unwrap_or_default();
        let changed = drains.set(endpoint.clone(), drain);
        if changed && drain {
            check_listed(&client, &endpoint).await?;
        }
        let version = present.and_then(|it| it.metadata.resource_version);
        let object = Object::new(ObjectKind::Drains, region.as_str(), spec(&drains)?);
        if !changed || is_mine(&commit(&client, object.version(version), &cx.write_id()).await?) {
            let region = region.clone();
            cx.show(&Asked { region, endpoint, drain, unchanged: !changed })?;
            return Ok(Exit::Done);
        }
    }
    Err(CliError::Contended { region: region.clone(), attempts: ATTEMPTS })
}

fn is_mine(committed: &Committed) -> bool {
    matches!(committed, Committed::Mine)
}

/// Refuses an endpoint that the platform does not list, which is most likely misspelt.
async fn check_listed(client: &ObjectClient, endpoint: &EndpointName) -> Result<(), CliError> {
    let listed = client.list(ObjectKind::Instances, "").await.map_err(CliError::Platform)?;
    let is_it = |it: &Object| it.parse::<Named>().is_ok_and(|it| it.endpoint == *endpoint);
    if listed.items.iter().any(is_it) {
        return Ok(());
    }
    Err(CliError::UnknownEndpoint { endpoint: endpoint.clone() })
}
