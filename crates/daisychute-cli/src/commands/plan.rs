//! `plan`: what every endpoint of a region should be.

use daisychute_core::{EngineTarget, Plan, RegionName};
use daisychute_store::ObjectKind;
use serde::Serialize;

use crate::context::{Context, parse, read};
use crate::error::{CliError, Exit};
use crate::output::Answer;
use crate::table::{lines, or_dash, table};

#[derive(Serialize)]
struct RegionPlan {
    region: RegionName,
    plan: Plan,
}

impl Answer for RegionPlan {
    fn text(&self, width: u16) -> String {
        let Self { region, plan } = self;
        let mut table = table(width, &["ENDPOINT", "ROLE", "MODEL", "DRAIN", "SINCE"]);
        for (endpoint, desired) in &plan.endpoints {
            table.add_row([
                endpoint.to_string(),
                or_dash(desired.target.as_ref().map(|it| role(it.role))),
                or_dash(desired.target.as_ref().map(model)),
                if desired.drain { "yes" } else { "no" }.to_owned(),
                desired.since.to_string(),
            ]);
        }
        format!("{region}: plan {}, term {}\n{}", plan.revision, plan.term, lines(&table))
    }
}

/// A role as it is shown.
pub(super) const fn role(role: daisychute_core::Role) -> &'static str {
    match role {
        daisychute_core::Role::Prefill => "prefill",
        daisychute_core::Role::Decode => "decode",
        daisychute_core::Role::Mixed => "mixed",
    }
}

/// Model, version and adapter as they are shown.
pub(super) fn model(target: &EngineTarget) -> String {
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
