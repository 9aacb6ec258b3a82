//! `jobs`: accepted work that may wait.

use std::time::Duration;

use daisychute_core::{JobState, JobStatus};
use serde::Serialize;

use crate::admin::{self, AdminError};
use crate::context::Context;
use crate::error::{CliError, Exit};
use crate::output::Answer;
use crate::table::{lines, or_dash, table};

#[derive(Serialize)]
#[serde(transparent)]
struct Jobs(Vec<JobStatus>);

impl Answer for Jobs {
    fn text(&self, width: u16) -> String {
        let header = ["JOB", "TENANT", "CLASS", "STATE", "AGE", "TRIES", "ENDPOINT"];
        let mut table = table(width, &header);
        for job in &self.0 {
            table.add_row([
                job.id.clone(),
                job.tenant.to_string(),
                job.class.to_string(),
                state(job),
                whole_seconds(job.age),
                job.attempts.to_string(),
                or_dash(job.endpoint.as_ref()),
            ]);
        }
        lines(&table)
    }
}

/// A span as it is shown, in whole seconds.
pub(super) fn whole_seconds(span: Duration) -> String {
    humantime::format_duration(Duration::from_secs(span.as_secs())).to_string()
}

fn state(job: &JobStatus) -> String {
    let state = match job.state {
        JobState::Waiting => "waiting",
        JobState::Running => "running",
        JobState::Done => "done",
        JobState::Refused => "refused",
    };
    match &job.refusal {
        Some(refusal) => format!("{state}: {refusal}"),
        None => state.to_owned(),
    }
}

pub(super) async fn list(cx: &Context) -> Result<Exit, CliError> {
    let jobs = admin::get(cx.entry()?, "/jobs").await?;
    cx.show(&Jobs(jobs))?;
    Ok(Exit::Done)
}

pub(super) async fn show(cx: &Context, id: &str) -> Result<Exit, CliError> {
    match admin::get(cx.entry()?, &format!("/jobs/{id}")).await {
        Ok(job) => cx.show(&Jobs(vec![job]))?,
        Err(CliError::Entry { source: AdminError::NotFound, .. }) => {
            return Err(CliError::NoJob { id: id.to_owned() });
        }
        Err(error) => return Err(error),
    }
    Ok(Exit::Done)
}
