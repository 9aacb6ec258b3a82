//! Tables that fit the width of a terminal.

use comfy_table::{ContentArrangement, Table, presets};

/// An empty table without borders, `width` columns wide.
pub(crate) fn table(width: u16, header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_content_arrangement(ContentArrangement::Dynamic);
    table.set_width(width);
    table.set_header(header.to_vec());
    table
}

/// Text of a table without trailing spaces; empty if the table has no rows.
pub(crate) fn render(table: &Table) -> String {
    if table.is_empty() {
        return String::new();
    }
    let mut text = table.trim_fmt();
    text.push('\n');
    text
}

/// Text of the value, or a dash for `None`.
pub(crate) fn or_dash(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".to_owned(), |it| it.to_string())
}
