//! Writes `docs/RESULTS.md` from the journal of the users' bench.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};

use serde::Deserialize;

use crate::XtaskError;

/// Directory of the journal, with one JSON file per run.
const JOURNAL: &str = "journal";
const PAGE: &str = "docs/RESULTS.md";
/// Prefix of the reason of runs that measured a change which wasn't kept; the score tables omit them.
const TRIAL_PREFIX: &str = "trial";
/// Length of abbreviated commit ids, in characters.
const COMMIT_LENGTH: usize = 7;

/// One run in the journal.
#[derive(Debug, Clone, Deserialize)]
struct JournalEntry {
    id: String,
    cmd: String,
    site: Option<String>,
    head: String,
    score: Option<f64>,
    #[serde(default)]
    days: Vec<Day>,
    #[serde(default)]
    digest: String,
    #[serde(default)]
    why: String,
}

/// Result of one simulated day of a run.
#[derive(Debug, Clone, Deserialize)]
struct Day {
    name: String,
    /// Total worth of the day after deduction of its prices.
    #[serde(rename = "G", default)]
    worth: Option<f64>,
    /// Worth at which the score of the day is 1.
    #[serde(default)]
    top: Option<f64>,
    #[serde(default)]
    served: f64,
    #[serde(default)]
    refused: f64,
    #[serde(default)]
    failed: f64,
    /// Name, weight and value of each part of the worth.
    #[serde(default)]
    parts: Vec<(String, f64, f64)>,
    /// Name, amount and deducted worth of each price.
    #[serde(default)]
    prices: Vec<(String, f64, f64)>,
}

/// Overwrites the page.
pub(crate) fn run() -> Result<(), XtaskError> {
    let entries = read_entries()?;
    let mut page = String::from(
        "# Results on the users' bench\n\nMade from the journal by `cargo xtask results`. `worth` is what a day earned after its \
         prices, `one` the mark at which its score is full. A change under 0.03 on one day is noise.\n",
    );
    let mut sites: BTreeMap<&str, Vec<&JournalEntry>> = BTreeMap::new();
    let is_score = |it: &&JournalEntry| {
        it.cmd == "score" && it.score.is_some() && !it.why.starts_with(TRIAL_PREFIX)
    };
    for entry in entries.iter().filter(is_score) {
        sites.entry(entry.site.as_deref().unwrap_or_default()).or_default().push(entry);
    }
    for (site, scores) in sites {
        // Writing to a string can't fail.
        let _ = site_table(&mut page, site, &scores);
    }
    let _ = hunt_table(&mut page, &entries);
    let write_error = |source| XtaskError::Write { path: PathBuf::from(PAGE), source };
    fs::write(PAGE, page).map_err(write_error)
}

fn read_entries() -> Result<Vec<JournalEntry>, XtaskError> {
    let read_error = |path: &Path, source| XtaskError::Read { path: path.to_owned(), source };
    let files = fs::read_dir(JOURNAL).map_err(|e| read_error(Path::new(JOURNAL), e))?;
    let mut paths: Vec<_> = files.flatten().map(|it| it.path()).collect();
    paths.retain(|it| it.extension().is_some_and(|it| it == "json"));
    paths.sort();
    let mut entries = Vec::new();
    for path in paths {
        let text = fs::read_to_string(&path).map_err(|e| read_error(&path, e))?;
        match serde_json::from_str(&text) {
            Ok(entry) => entries.push(entry),
            Err(error) => eprintln!("skipping {}: {error}", path.display()),
        }
    }
    Ok(entries)
}

fn short_commit(entry: &JournalEntry) -> &str {
    entry.head.get(..COMMIT_LENGTH).unwrap_or(&entry.head)
}

fn site_table(page: &mut String, site: &str, scores: &[&JournalEntry]) -> std::fmt::Result {
    let (Some(first), Some(last)) = (scores.first(), scores.last()) else { return Ok(()) };
    let mean_worth = |entry: &JournalEntry| {
        let worths: Vec<_> = standard_days(entry).filter_map(|it| it.worth).collect();
        worths.iter().sum::<f64>() / worths.len().max(1) as f64
    };
    writeln!(page, "\n## {site}\n")?;
    writeln!(
        page,
        "First score {:.3} (mean worth {:.3}, run {} on {}), latest score {:.3} (mean worth {:.3}, run {} on {} or a \
         change of it).\n",
        first.score.unwrap_or_default(),
        mean_worth(first),
        first.id,
        short_commit(first),
        last.score.unwrap_or_default(),
        mean_worth(last),
        last.id,
        short_commit(last),
    )?;
    writeln!(
        page,
        "| day | worth first | worth latest | one | served | refused | failed | lowest part | highest price |"
    )?;
    writeln!(page, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")?;
    for day in standard_days(last) {
        let first_worth =
            standard_days(first).find(|it| it.name == day.name).and_then(|it| it.worth);
        let lowest_part = day.parts.iter().min_by(|a, b| a.2.total_cmp(&b.2));
        let highest_price = day.prices.iter().max_by(|a, b| a.2.total_cmp(&b.2));
        writeln!(
            page,
            "| {} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {} | {} |",
            day.name,
            first_worth.unwrap_or_default(),
            day.worth.unwrap_or_default(),
            day.top.unwrap_or_default(),
            day.served,
            day.refused,
            day.failed,
            lowest_part.map_or(String::new(), |it| format!("{} {:.2}", it.0, it.2)),
            highest_price.map_or(String::new(), |it| format!("{} {:.3}", it.0, it.2)),
        )?;
    }
    Ok(())
}

/// The days that the site file names, without those drawn at random for one run.
fn standard_days(entry: &JournalEntry) -> impl Iterator<Item = &Day> {
    entry.days.iter().filter(|it| !it.name.starts_with("fresh"))
}

fn hunt_table(page: &mut String, entries: &[JournalEntry]) -> std::fmt::Result {
    writeln!(
        page,
        "\n## Hunts and sweeps\n\n| run | site | commit | result | why |\n| --- | --- | --- | --- | --- |"
    )?;
    for entry in entries.iter().filter(|it| it.cmd == "hunt" || it.cmd == "sweep") {
        let site = entry.site.as_deref().unwrap_or_default();
        let result = entry.digest.lines().next().unwrap_or_default();
        let broken = entry.digest.lines().filter(|it| it.contains("BROKEN"));
        let broken: Vec<_> = broken.map(|it| it.split("  ").next().unwrap_or_default()).collect();
        let broken =
            if broken.is_empty() { String::new() } else { format!(" ({})", broken.join(", ")) };
        writeln!(
            page,
            "| {} | {site} | {} | {result}{broken} | {} |",
            entry.id,
            short_commit(entry),
            entry.why
        )?;
    }
    Ok(())
}
