//! `docs/CAPACITY.md` states exactly the measurements in `docs/capacity.json`.

use std::collections::BTreeSet;

use serde_json::Value;

const PAGE: &str = include_str!("../../docs/CAPACITY.md");
const DATA: &str = include_str!("../../docs/capacity.json");
const TABLE_HEADER: &str = "| figure | value | unit | run |";

#[test]
fn page_and_data_agree() {
    let data: Vec<Value> = serde_json::from_str(DATA).expect("the data is JSON");
    let field = |row: &Value, name: &str| row[name].as_str().expect("a string").to_owned();
    let expected: BTreeSet<String> = data
        .iter()
        .map(|it| ["name", "value", "unit", "run"].map(|name| field(it, name)).join(" | "))
        .map(|it| format!("| {it} |"))
        .collect();
    let table = PAGE.lines().skip_while(|it| *it != TABLE_HEADER).skip(2);
    let shown: BTreeSet<String> =
        table.take_while(|it| it.starts_with('|')).map(str::to_owned).collect();
    assert!(!shown.is_empty(), "the page has its table");
    assert_eq!(shown, expected);
}
