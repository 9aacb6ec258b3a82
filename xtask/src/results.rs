//! Writes `docs/RESULTS.md` from the journal of the users' bench.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};

use serde::Deserialize;

use crate::XtaskError;

const JOURNAL: &str = "journal";
const PAGE: &str = "docs/RESULTS.md";
/// Runs whose reason begins so measured a change that wasn't kept.
const TRIAL: &str = "trial";
/// Characters of a commit that are shown.
const COMMIT: usize = 7;

/// One entry of the journal.
#[derive(Debug, Clone, Deserialize)]
struct Entry {
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

/// One day that was played.
#[derive(Debug, Clone, Deserialize)]
struct Day {
    name: String,
    /// What the day was worth after its prices.
    #[serde(rename = "G", default)]
    worth: Option<f64>,
    /// The mark at which its score is one.
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
    /// Name, amount and price of each price.
    #[serde(default)]
    prices: Vec<(String, f64, f64)>,
}

/// Writes the page anew.
pub(crate) fn run() -> Result<(), XtaskError> {
    let entries = entries()?;
    let mut page = String::from(
        "# Results on the users' bench\n\nMade from the journal by `cargo xtask results`. `worth` is what a day earned after its \
         prices, `one` the mark at which its score is full. A change under 0.03 on one day is noise.\n",
    );
    let mut sites: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
    let counts =
        |it: &&Entry| it.cmd == "score" && it.score.is_some() && !it.why.starts_with(TRIAL);
    for entry in entries.iter().filter(counts) {
        sites.entry(entry.site.as_deref().unwrap_or_default()).or_default().push(entry);
    }
    for (site, scores) in sites {
        // Writing to a string can't fail.
        let _ = site_table(&mut page, site, &scores);
    }
    let _ = hunts(&mut page, &entries);
    let write = |source| XtaskError::Write { path: PathBuf::from(PAGE), source };
    fs::write(PAGE, page).map_err(write)
}

fn entries() -> Result<Vec<Entry>, XtaskError> {
    let read = |path: &Path, source| XtaskError::Read { path: path.to_owned(), source };
    let listed = fs::read_dir(JOURNAL).map_err(|e| read(Path::new(JOURNAL), e))?;
    let mut paths: Vec<_> = listed.flatten().map(|it| it.path()).collect();
    paths.retain(|it| it.extension().is_some_and(|it| it == "json"));
    paths.sort();
    let mut entries = Vec::new();
    for path in paths {
        let text = fs::read_to_string(&path).map_err(|e| read(&path, e))?;
        match serde_json::from_str(&text) {
            Ok(entry) => entries.push(entry),
            Err(error) => eprintln!("{} is passed over: {error}", path.display()),
        }
    }
    Ok(entries)
}

fn commit(entry: &Entry) -> &str {
    entry.head.get(..COMMIT).unwrap_or(&entry.head)
}

fn site_table(page: &mut String, site: &str, scores: &[&Entry]) -> std::fmt::Result {
    let (Some(first), Some(last)) = (scores.first(), scores.last()) else { return Ok(()) };
    let mean = |entry: &Entry| {
        let standard: Vec<_> = standard_days(entry).filter_map(|it| it.worth).collect();
        standard.iter().sum::<f64>() / standard.len().max(1) as f64
    };
    writeln!(page, "\n## {site}\n")?;
    writeln!(
        page,
        "First score {:.3} (mean worth {:.3}, run {} on {}), latest score {:.3} (mean worth {:.3}, run {} on {} or a \
         change of it).\n",
        first.score.unwrap_or_default(),
        mean(first),
        first.id,
        commit(first),
        last.score.unwrap_or_default(),
        mean(last),
        last.id,
        commit(last),
    )?;
    writeln!(
        page,
        "| day | worth first | worth latest | one | served | refused | failed | lowest part | highest price |"
    )?;
    writeln!(page, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")?;
    for day in standard_days(last) {
        let before = standard_days(first).find(|it| it.name == day.name).and_then(|it| it.worth);
        let low = day.parts.iter().min_by(|a, b| a.2.total_cmp(&b.2));
        let dear = day.prices.iter().max_by(|a, b| a.2.total_cmp(&b.2));
        writeln!(
            page,
            "| {} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {} | {} |",
            day.name,
            before.unwrap_or_default(),
            day.worth.unwrap_or_default(),
            day.top.unwrap_or_default(),
            day.served,
            day.refused,
            day.failed,
            low.map_or(String::new(), |it| format!("{} {:.2}", it.0, it.2)),
            dear.map_or(String::new(), |it| format!("{} {:.3}", it.0, it.2)),
        )?;
    }
    Ok(())
}

/// The days that a site file names; those drawn for one run are left out.
fn standard_days(entry: &Entry) -> impl Iterator<Item = &Day> {
    entry.days.iter().filter(|it| !it.name.starts_with("fresh"))
}

fn hunts(page: &mut String, entries: &[Entry]) -> std::fmt::Result {
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
            commit(entry),
            entry.why
        )?;
    }
    Ok(())
}
