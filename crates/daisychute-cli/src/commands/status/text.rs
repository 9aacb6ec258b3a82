//! Text form of an overview.

use std::fmt::Write;
use std::time::Duration;

use daisychute_core::{EndpointKind, EndpointState, ProcessRole, ProcessState};

use super::overview::{EndpointRow, Overview, ProcessRow, SourceState};
use crate::commands::plan;
use crate::output::CommandOutput;
use crate::table::{or_dash, render, table};

/// Processes that the summary names as behind; the others are only counted.
const MAX_NAMED_BEHIND: usize = 5;

impl CommandOutput for Overview {
    fn text(&self, width: u16) -> String {
        let mut text = self.summary();
        if !self.processes.is_empty() {
            text.push('\n');
            text.push_str(&self.process_table(width));
        }
        if !self.endpoints.is_empty() {
            text.push('\n');
            text.push_str(&self.endpoint_table(width));
        }
        text
    }
}

impl Overview {
    fn summary(&self) -> String {
        let mut text = String::new();
        let platform = match self.platform {
            SourceState::Up => "up",
            SourceState::Down => "no answer",
            SourceState::NotAsked => "not asked",
        };
        // Writing to a string can't fail.
        let _ = writeln!(text, "platform: {platform}");
        for (entry, error) in &self.entry_errors {
            let _ = writeln!(text, "entry {entry}: {error}");
        }
        if let Some(accepted) = self.accepted {
            let _ = writeln!(text, "configuration: revision {accepted} is accepted");
            let _ = writeln!(text, "in force: {}", self.rollout_progress());
            text.push_str(&self.behind_lines());
        }
        let unreported = self.endpoints.iter().filter(|it| it.heard == Some(false)).count();
        if unreported > 0 {
            let _ = writeln!(text, "not heard: agents of {unreported} listed endpoints");
        }
        if let Some(plan) = self.plan {
            let _ = writeln!(text, "plan: revision {plan}");
        }
        text
    }

    /// Number of processes at the accepted configuration.
    fn rollout_progress(&self) -> String {
        let all = self.processes.len();
        match self.processes.iter().filter(|it| it.behind == Some(true)).count() {
            _ if all == 0 => "no process is known".to_owned(),
            0 => format!("on all {all} known processes"),
            behind => format!("on {} of {all} known processes", all - behind),
        }
    }

    /// A line for each of the first processes that are behind, and one with the number of the others.
    fn behind_lines(&self) -> String {
        let behind: Vec<_> = self.processes.iter().filter(|it| it.behind == Some(true)).collect();
        let mut text = String::new();
        for row in behind.iter().take(MAX_NAMED_BEHIND) {
            let _ = writeln!(text, "behind: {} at {}", row.process, row.revisions.configuration);
        }
        if behind.len() > MAX_NAMED_BEHIND {
            let _ = writeln!(text, "behind: {} more", behind.len() - MAX_NAMED_BEHIND);
        }
        text
    }

    fn process_table(&self, width: u16) -> String {
        let header =
            ["PROCESS", "ROLE", "DATA CENTRE", "STATE", "CONFIG", "PLAN", "IN FLIGHT", "HEARD"];
        let mut table = table(width, &header);
        for row in &self.processes {
            table.add_row(process_cells(row));
        }
        render(&table)
    }

    fn endpoint_table(&self, width: u16) -> String {
        let header =
            ["ENDPOINT", "DATA CENTRE", "KIND", "STATE", "ROLE", "MODEL", "RUNNING", "QUEUED"];
        let mut table = table(width, &header);
        for row in &self.endpoints {
            table.add_row(endpoint_cells(row));
        }
        render(&table)
    }
}

fn process_cells(row: &ProcessRow) -> [String; 8] {
    let role = match row.role {
        ProcessRole::Entry => "entry",
        ProcessRole::Agent => "agent",
    };
    let state = row.state.map(|it| match it {
        ProcessState::Starting => "starting",
        ProcessState::Ready => "ready",
        ProcessState::Leaving => "leaving",
    });
    let behind = if row.behind == Some(true) { " behind" } else { "" };
    [
        row.process.to_string(),
        role.to_owned(),
        row.data_centre.to_string(),
        or_dash(state),
        format!("{}{behind}", row.revisions.configuration),
        row.revisions.plan.to_string(),
        or_dash(row.in_flight),
        row.heard.map_or_else(|| "now".to_owned(), |it| format!("{} ago", whole_seconds(it))),
    ]
}

fn endpoint_cells(row: &EndpointRow) -> [String; 8] {
    let status = &row.status;
    let kind = match &status.kind {
        EndpointKind::Engine => "engine".to_owned(),
        EndpointKind::Service(service) => service.to_string(),
    };
    [
        status.endpoint.to_string(),
        status.data_centre.to_string(),
        kind,
        endpoint_state(row).to_owned(),
        or_dash(status.target.as_ref().map(|it| plan::role_name(it.role))),
        or_dash(status.target.as_ref().map(plan::model_name)),
        or_dash(status.load.map(|it| it.running)),
        or_dash(status.load.map(|it| it.queued)),
    ]
}

fn endpoint_state(row: &EndpointRow) -> &'static str {
    match row.status.state {
        _ if row.status.changing => "changing",
        EndpointState::Leaving => "leaving",
        EndpointState::Live if row.drain == Some(true) => "drain asked",
        EndpointState::Live if row.heard == Some(false) => "not heard",
        EndpointState::Live => "live",
    }
}

/// Text form of a duration, rounded down to whole seconds.
fn whole_seconds(duration: Duration) -> String {
    humantime::format_duration(Duration::from_secs(duration.as_secs())).to_string()
}
