//! `drain` and `undrain`: set whether an endpoint is to be drained.

use daisychute_core::{Drains, EndpointName, RegionName};
use daisychute_store::{Object, ObjectClient, ObjectKind};
use serde::{Deserialize, Serialize};

use crate::commit::{CommitOutcome, commit};
use crate::context::{Context, parse, read, spec};
use crate::error::{CliError, Exit};
use crate::output::CommandOutput;

/// Conditional writes before the command gives up, because other operators changed the region's drains each time.
const MAX_ATTEMPTS: u32 = 5;

#[derive(Serialize)]
struct DrainResult {
    region: RegionName,
    endpoint: EndpointName,
    drain: bool,
    /// Whether the endpoint was in that state already, so that nothing was written.
    unchanged: bool,
}

impl CommandOutput for DrainResult {
    fn text(&self, _width: u16) -> String {
        let Self { region, endpoint, .. } = self;
        let state = if self.drain { "is to be drained" } else { "is to take work" };
        let already = if self.unchanged { " already" } else { "" };
        format!("{region}: {endpoint} {state}{already}")
    }
}

#[derive(Deserialize)]
struct ListedEndpoint {
    endpoint: EndpointName,
}

pub(super) async fn drain(
    cx: &Context,
    endpoint: EndpointName,
    drain: bool,
) -> Result<Exit, CliError> {
    let region = cx.region()?;
    let client = cx.client()?;
    for _ in 0..MAX_ATTEMPTS {
        let present = read(&client, ObjectKind::Drains, region.as_str()).await?;
        let mut drains: Drains = present.as_ref().map(parse).transpose()?.unwrap_or_default();
        let changed = drains.set(endpoint.clone(), drain);
        if changed && drain {
            check_listed(&client, &endpoint).await?;
        }
        let version = present.and_then(|it| it.metadata.resource_version);
        let object = Object::new(ObjectKind::Drains, region.as_str(), spec(&drains)?);
        if !changed || is_applied(&commit(&client, object.version(version), &cx.write_id()).await?)
        {
            let region = region.clone();
            cx.show(&DrainResult { region, endpoint, drain, unchanged: !changed })?;
            return Ok(Exit::Done);
        }
    }
    Err(CliError::Contended { region: region.clone(), attempts: MAX_ATTEMPTS })
}

fn is_applied(outcome: &CommitOutcome) -> bool {
    matches!(outcome, CommitOutcome::Applied)
}

/// Fails if the platform lists no endpoint of this name, which is then most likely misspelt.
async fn check_listed(client: &ObjectClient, endpoint: &EndpointName) -> Result<(), CliError> {
    let listed = client.list(ObjectKind::Instances, "").await.map_err(CliError::Platform)?;
    let is_same =
        |it: &Object| it.parse::<ListedEndpoint>().is_ok_and(|it| it.endpoint == *endpoint);
    if listed.items.iter().any(is_same) {
        return Ok(());
    }
    Err(CliError::UnknownEndpoint { endpoint: endpoint.clone() })
}
