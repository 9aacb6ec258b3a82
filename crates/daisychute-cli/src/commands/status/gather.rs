//! Asks all sources.

use std::net::SocketAddr;

use daisychute_core::{Plan, ProcessStatus, RegionName, Revision};
use daisychute_store::{CallError, ConfigurationDocument, Object, ObjectClient, ObjectKind};
use serde::de::DeserializeOwned;

use super::overview::{Found, Overview, Source};
use crate::admin;
use crate::context::{Context, parse, read};
use crate::error::CliError;

/// Asks the platform and the entries. One source that is down leaves the others.
///
/// Fails where no source was named or none answered.
pub(super) async fn gather(cx: &Context) -> Result<Overview, CliError> {
    if cx.entries().is_empty() {
        cx.client()?;
    }
    let mut found = Found::default();
    let platform = ask_platform(cx, &mut found).await;
    let (silent, last) = ask_entries(cx.entries(), &mut found).await;
    let answered = cx.entries().len() > silent.len();
    let source = match platform {
        Ok(source) => source,
        Err(_) if answered => Source::Down,
        Err(error) => return Err(error),
    };
    match last {
        Some(error) if source == Source::NotAsked && !answered => Err(error),
        _ => Ok(found.merge(source, silent)),
    }
}

async fn ask_platform(cx: &Context, found: &mut Found) -> Result<Source, CliError> {
    let Some(client) = cx.optional_client() else { return Ok(Source::NotAsked) };
    if let Some(deployment) = cx.optional_deployment() {
        found.accepted = Some(accepted(&client, deployment.as_str()).await?);
    }
    if let Some(region) = cx.optional_region() {
        ask_region(&client, region, found).await?;
    }
    found.instances = list(&client, ObjectKind::Instances).await?;
    found.statuses = list(&client, ObjectKind::Statuses).await?;
    Ok(Source::Up)
}

async fn ask_region(
    client: &ObjectClient,
    region: &RegionName,
    found: &mut Found,
) -> Result<(), CliError> {
    let plan = read(client, ObjectKind::Plans, region.as_str()).await?;
    let plan: Option<Plan> = plan.as_ref().map(parse).transpose()?;
    found.plan = plan.map(|it| it.revision);
    let drains = read(client, ObjectKind::Drains, region.as_str()).await?;
    found.drains = Some(drains.as_ref().map(parse).transpose()?.unwrap_or_default());
    Ok(())
}

async fn accepted(client: &ObjectClient, deployment: &str) -> Result<Revision, CliError> {
    let Some(object) = read(client, ObjectKind::Configurations, deployment).await? else {
        return Ok(Revision::ZERO);
    };
    let document: ConfigurationDocument = parse(&object)?;
    Ok(document.revision)
}

/// The objects of a kind that are what this version of the client knows.
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

/// The entries that gave no answer, and why the last of them did not.
async fn ask_entries(
    entries: &[SocketAddr],
    found: &mut Found,
) -> (Vec<SocketAddr>, Option<CliError>) {
    let mut silent = Vec::new();
    let mut last = None;
    for entry in entries {
        match admin::get::<ProcessStatus>(*entry, "/status").await {
            Ok(status) => found.statuses.push(status),
            Err(error) => {
                silent.push(*entry);
                last = Some(error);
            }
        }
    }
    (silent, last)
}
