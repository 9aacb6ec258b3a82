//! `docs/METRICS.md` names the metrics and labels of a running entry, and no others.

use std::collections::{BTreeMap, BTreeSet};

use daisychute_testbed::{Deployment, Plan};
use serde_json::json;

const PAGE: &str = include_str!("../../../docs/METRICS.md");
/// The label of a histogram's buckets, which is no label of its own.
const BUCKET: &str = "le";

/// The type and the labels of each metric.
type Metrics = BTreeMap<String, (String, BTreeSet<String>)>;

fn documented() -> Metrics {
    let rows = PAGE.lines().skip_while(|it| !it.starts_with("| name | type | labels |")).skip(2);
    let rows = rows.take_while(|it| it.starts_with('|'));
    rows.map(|row| {
        let cells: Vec<_> = row.split('|').map(str::trim).collect();
        let labels = cells[3].split(", ").map(|it| it.trim_matches('`').to_owned());
        (cells[1].trim_matches('`').to_owned(), (cells[2].to_owned(), labels.collect()))
    })
    .collect()
}

/// What the text format of a listener says.
fn exposed(text: &str) -> Metrics {
    let mut found = Metrics::new();
    for line in text.lines() {
        if let Some(rest) = line.strip_prefix("# TYPE ") {
            let (name, kind) = rest.split_once(' ').expect("a type");
            found.insert(name.to_owned(), (kind.to_owned(), BTreeSet::new()));
        } else if let Some((name, rest)) = line.split_once('{') {
            let (_, (_, labels)) =
                found.iter_mut().find(|(it, _)| name.starts_with(it.as_str())).expect("a type");
            let (pairs, _) = rest.split_once('}').expect("the end of the labels");
            let names = pairs.split(',').filter_map(|it| it.split_once('='));
            labels.extend(names.map(|it| it.0.to_owned()).filter(|it| it != BUCKET));
        }
    }
    found
}

#[test]
fn metrics_are_those_of_the_code() {
    let text = actix_rt::System::new().block_on(async {
        let deployment = Deployment::start(Plan::rabat_sale()).await.expect("it starts");
        let entry = deployment.entry(0);
        let body = json!({"model": deployment.model(), "prompt": "Digest:", "max_tokens": 3});
        let answer = entry.client().post("/v1/completions", &body).await.expect("an answer");
        assert_eq!(answer.status.as_u16(), 200, "{}", answer.text());
        entry.admin().get("/metrics").await.expect("the metrics").text()
    });
    assert_eq!(documented(), exposed(&text));
}
