//! `history`: lists the accepted configurations, or prints one of them.

use daisychute_core::{Configuration, Revision};
use daisychute_settings::{ConfigurationDiff, ConfigurationFile};
use serde::Serialize;

use super::get::read_accepted;
use crate::context::Context;
use crate::error::{CliError, Exit};
use crate::history::{ConfigurationEntry, History};
use crate::output::CommandOutput;
use crate::table::{render, table};

/// Changed sections that one row of the table names; the others are only counted.
const MAX_SECTIONS: usize = 4;

#[derive(Serialize)]
struct Row {
    revision: Revision,
    at: String,
    writer: String,
    /// Changes against the revision before it; `None` if the history no longer holds that one.
    changes: Option<ConfigurationDiff>,
}

#[derive(Serialize)]
#[serde(transparent)]
struct Rows(Vec<Row>);

impl CommandOutput for Rows {
    fn text(&self, width: u16) -> String {
        let mut table = table(width, &["REVISION", "ACCEPTED", "BY", "CHANGED"]);
        for row in &self.0 {
            let revision = row.revision.to_string();
            table.add_row([&revision, &row.at, &row.writer, &row.section_list()]);
        }
        render(&table)
    }
}

impl Row {
    /// The changed sections as table text, or a dash if the changes are unknown.
    fn section_list(&self) -> String {
        let Some(changes) = &self.changes else { return "-".to_owned() };
        let mut sections: Vec<_> = changes.changes().iter().map(|it| it.section.as_str()).collect();
        sections.dedup();
        let unnamed = sections.len().saturating_sub(MAX_SECTIONS);
        sections.truncate(MAX_SECTIONS);
        let shown = sections.join(", ");
        if unnamed == 0 { shown } else { format!("{shown} and {unnamed} more") }
    }
}

#[derive(Serialize)]
#[serde(transparent)]
struct StoredConfiguration(ConfigurationEntry);

impl CommandOutput for StoredConfiguration {
    fn text(&self, _width: u16) -> String {
        ConfigurationFile::from(self.0.configuration.clone()).to_string()
    }
}

pub(super) async fn list(cx: &Context) -> Result<Exit, CliError> {
    let entries = read_entries(cx).await?;
    let empty = Configuration::default();
    let mut rows = Vec::new();
    for (index, entry) in entries.iter().enumerate() {
        let before = match index.checked_sub(1) {
            Some(previous) => Some(&entries[previous].configuration),
            None => (entry.revision == Revision::ZERO.next()).then_some(&empty),
        };
        let changes = before.map(|it| ConfigurationDiff::between(it, &entry.configuration));
        let (revision, at) = (entry.revision, entry.at.clone());
        rows.push(Row { revision, at, writer: entry.writer_name(), changes });
    }
    rows.reverse();
    cx.show(&Rows(rows))?;
    Ok(Exit::Done)
}

pub(super) async fn show(cx: &Context, revision: Revision) -> Result<Exit, CliError> {
    let found = read_entries(cx).await?.into_iter().find(|it| it.revision == revision);
    cx.show(&StoredConfiguration(found.ok_or(CliError::NoRevision { revision })?))?;
    Ok(Exit::Done)
}

/// Reads the replaced configurations and the accepted one, oldest first.
async fn read_entries(cx: &Context) -> Result<Vec<ConfigurationEntry>, CliError> {
    let accepted = read_accepted(cx).await?;
    let history = History::read(&cx.client()?, cx.deployment()?).await?;
    let mut entries = history.entries;
    if let Some(accepted) = accepted {
        entries.retain(|it| it.revision < accepted.revision);
        entries.push(accepted);
    }
    Ok(entries)
}
