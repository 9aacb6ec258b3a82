//! `plan`: shows the desired role, model and drain state of every endpoint of a region.

use daisychute_core::{EngineTarget, Plan, RegionName};
use daisychute_store::ObjectKind;
use serde::Serialize;

use crate::context::{Context, parse, read};
use crate::error::{CliError, Exit};
use crate::output::CommandOutput;
use crate::table::{or_dash, render, table};

#[derive(Serialize)]
struct RegionPlan {
    region: RegionName,
    plan: Plan,
}

impl CommandOutput for RegionPlan {
    fn text(&self, width: u16) -> String {
        let Self { region, plan } = self;
        let mut table = table(width, &["ENDPOINT", "ROLE", "MODEL", "DRAIN", "SINCE"]);
        for (endpoint, desired) in &plan.endpoints {
            table.add_row([
                endpoint.to_string(),
                or_dash(desired.target.as_ref().map(|it| role_name(it.role))),
                or_dash(desired.target.as_ref().map(model_name)),
                if desired.drain { "yes" } else { "no" }.to_owned(),
                desired.since.to_string(),
            ]);
        }
        format!("{region}: plan {}, term {}\n{}", plan.revision, plan.term, render(&table))
    }
}

/// Name of a role in tables.
pub(super) const fn role_name(role: daisychute_core::Role) -> &'static str {
    match role {
        daisychute_core::Role::Prefill => "prefill",
        daisychute_core::Role::Decode => "decode",
        daisychute_core::Role::Mixed => "mixed",
    }
}

/// Model, version and adapter of a target, as `model@version+adapter`.
pub(super) fn model_name(target: &EngineTarget) -> String {
    let EngineTarget { model, version, adapter, .. } = target;
    match adapter {
        Some(adapter) => format!("{model}@{version}+{adapter}"),
        None => format!("{model}@{version}"),
    }
}

pub(super) async fn plan(cx: &Context) -> Result<Exit, CliError> {
    let region = cx.region()?.clone();
    let object = read(&cx.client()?, ObjectKind::Plans, region.as_str()).await?;
    let object = object.ok_or(CliError::NoPlan { region: region.clone() })?;
    let plan = parse(&object)?;
    cx.show(&RegionPlan { region, plan })?;
    Ok(Exit::Done)
}
