//! `history`: the accepted configurations.

use daisychute_core::{Configuration, Revision};
use daisychute_settings::{ConfigurationDiff, ConfigurationFile};
use serde::Serialize;

use super::get::accepted;
use crate::context::Context;
use crate::error::{CliError, Exit};
use crate::history::{Entry, History};
use crate::output::Answer;
use crate::table::{lines, table};

/// The most sections that are named in one row.
const MAX_SECTIONS: usize = 4;

#[derive(Serialize)]
struct Row {
    revision: Revision,
    at: String,
    writer: String,
    /// What it changed; none where the revision before it is not kept.
    changes: Option<ConfigurationDiff>,
}

#[derive(Serialize)]
#[serde(transparent)]
struct Rows(Vec<Row>);

impl Answer for Rows {
    fn text(&self, width: u16) -> String {
        let mut table = table(width, &["REVISION", "ACCEPTED", "BY", "CHANGED"]);
        for row in &self.0 {
            let revision = row.revision.to_string();
            table.add_row([&revision, &row.at, &row.writer, &row.sections()]);
        }
        lines(&table)
    }
}

impl Row {
    /// The sections that it changed.
    fn sections(&self) -> String {
        let Some(changes) = &self.changes else { return "-".to_owned() };
        let mut sections: Vec<_> = changes.changes().iter().map(|it| it.section.as_str()).collect();
        sections.dedup();
        let more = sections.len().saturating_sub(MAX_SECTIONS);
        sections.truncate(MAX_SECTIONS);
        let shown = sections.join(", ");
        if more == 0 { shown } else { format!("{shown} and {more} more") }
    }
}

#[derive(Serialize)]
#[serde(transparent)]
struct Kept(Entry);

impl Answer for Kept {
    fn text(&self, _width: u16) -> String {
        ConfigurationFile::from(self.0.configuration.clone()).to_string()
    }
}

pub(super) async fn list(cx: &Context) -> Result<Exit, CliError> {
    let entries = all(cx).await?;
    let none = Configuration::default();
    let mut rows = Vec::new();
    for (index, entry) in entries.iter().enumerate() {
        let before = match index.checked_sub(1) {
            Some(before) => Some(&entries[before].configuration),
            None => (entry.revision == Revision::ZERO.next()).then_some(&none),
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
    let found = all(cx).await?.into_iter().find(|it| it.revision == revision);
    cx.show(&Kept(found.ok_or(CliError::NoRevision { revision })?))?;
    Ok(Exit::Done)
}

/// The kept entries and the accepted one, the oldest first.
async fn all(cx: &Context) -> Result<Vec<Entry>, CliError> {
    let accepted = accepted(cx).await?;
    let history = History::read(&cx.client()?, cx.deployment()?).await?;
    let mut entries = history.entries;
    if let Some(accepted) = accepted {
        entries.retain(|it| it.revision < accepted.revision);
        entries.push(accepted);
    }
    Ok(entries)
}
