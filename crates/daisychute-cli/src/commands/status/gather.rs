//! Collects a deployment's state from the platform and the entries.

use std::net::SocketAddr;

use daisychute_core::{Plan, ProcessStatus, RegionName, Revision};
use daisychute_store::{CallError, ConfigurationDocument, Object, ObjectClient, ObjectKind};
use serde::de::DeserializeOwned;

use super::overview::{CollectedState, Overview, SourceState};
use crate::admin::{self, AdminError};
use crate::context::{Context, parse, read};
use crate::error::CliError;

/// Queries the platform and the entries. The result holds what the responding sources know.
///
/// Fails if no source is given or none responds.
pub(super) async fn gather(cx: &Context) -> Result<Overview, CliError> {
    if cx.entries().is_empty() {
        cx.client()?;
    }
    let mut collected = CollectedState::default();
    let platform = query_platform(cx, &mut collected).await;
    let mut failed = query_entries(cx.entries(), &mut collected).await;
    let any_entry_responded = cx.entries().len() > failed.len();
    let source = match platform {
        Ok(source) => source,
        Err(_) if any_entry_responded => SourceState::Down,
        Err(error) => return Err(error),
    };
    if source == SourceState::NotAsked
        && !any_entry_responded
        && let Some((entry, source)) = failed.pop()
    {
        return Err(CliError::Entry { entry, source });
    }
    Ok(collected.merge(source, &failed))
}

async fn query_platform(
    cx: &Context,
    collected: &mut CollectedState,
) -> Result<SourceState, CliError> {
    let Some(client) = cx.optional_client() else { return Ok(SourceState::NotAsked) };
    if let Some(deployment) = cx.optional_deployment() {
        collected.accepted = Some(read_accepted_revision(&client, deployment.as_str()).await?);
    }
    if let Some(region) = cx.optional_region() {
        query_region(&client, region, collected).await?;
    }
    collected.instances = list(&client, ObjectKind::Instances).await?;
    collected.statuses = list(&client, ObjectKind::Statuses).await?;
    Ok(SourceState::Up)
}

async fn query_region(
    client: &ObjectClient,
    region: &RegionName,
    collected: &mut CollectedState,
) -> Result<(), CliError> {
    let plan = read(client, ObjectKind::Plans, region.as_str()).await?;
    let plan: Option<Plan> = plan.as_ref().map(parse).transpose()?;
    collected.plan = plan.map(|it| it.revision);
    let drains = read(client, ObjectKind::Drains, region.as_str()).await?;
    collected.drains = Some(drains.as_ref().map(parse).transpose()?.unwrap_or_default());
    Ok(())
}

async fn read_accepted_revision(
    client: &ObjectClient,
    deployment: &str,
) -> Result<Revision, CliError> {
    let Some(object) = read(client, ObjectKind::Configurations, deployment).await? else {
        return Ok(Revision::ZERO);
    };
    let document: ConfigurationDocument = parse(&object)?;
    Ok(document.revision)
}

/// Lists the objects of a kind. Objects that this version of the client can't parse are skipped.
async fn list<T: DeserializeOwned>(
    client: &ObjectClient,
    kind: ObjectKind,
) -> Result<Vec<T>, CliError> {
    match client.list(kind, "").await {
        Ok(list) => Ok(list.items.iter().filter_map(|it: &Object| it.parse().ok()).collect()),
        Err(CallError::NotFound) => Ok(Vec::new()),
        Err(error) => Err(CliError::Platform(error)),
    }
}

/// Returns the errors of the entries whose query failed.
async fn query_entries(
    entries: &[SocketAddr],
    collected: &mut CollectedState,
) -> Vec<(SocketAddr, AdminError)> {
    let mut failed = Vec::new();
    for entry in entries {
        match admin::get_json::<ProcessStatus>(*entry, "/status").await {
            Ok(status) => collected.statuses.push(status),
            Err(error) => failed.push((*entry, error)),
        }
    }
    failed
}
