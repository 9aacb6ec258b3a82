//! `docs/METRICS.md` names the metrics and labels of a running entry, and no others.

use std::collections::{BTreeMap, BTreeSet};

use daisychute_testbed::{Deployment, DeploymentSpec};
use serde_json::json;

const PAGE: &str = include_str!("../../../docs/METRICS.md");
/// Label of the bucket bounds of a histogram, which the page doesn't list.
const BUCKET_LABEL: &str = "le";

/// Type and labels of each metric, by name.
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

/// Parses the metrics that a listener exposes in the Prometheus text format.
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
            labels.extend(names.map(|it| it.0.to_owned()).filter(|it| it != BUCKET_LABEL));
        }
    }
    found
}

#[test]
fn metrics_are_those_of_the_code() {
    let text = actix_rt::System::new().block_on(async {
        let deployment =
            Deployment::start(DeploymentSpec::rabat_sale()).await.expect("the deployment starts");
        let entry = deployment.entry(0);
        let body = json!({"model": deployment.model(), "prompt": "Digest:", "max_tokens": 3});
        let response = entry.client().post("/v1/completions", &body).await.expect("a response");
        assert_eq!(response.status.as_u16(), 200, "{}", response.text());
        entry.admin().get("/metrics").await.expect("the metrics").text()
    });
    assert_eq!(documented(), exposed(&text));
}
