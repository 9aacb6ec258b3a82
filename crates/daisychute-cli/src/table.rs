//! Tables that fit a terminal.

use comfy_table::{ContentArrangement, Table, presets};

/// A table of this width, in columns.
pub(crate) fn table(width: u16, header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_content_arrangement(ContentArrangement::Dynamic);
    table.set_width(width);
    table.set_header(header.to_vec());
    table
}

/// The lines of a table, without spaces at their ends.
pub(crate) fn lines(table: &Table) -> String {
    if table.is_empty() {
        return String::new();
    }
    let mut text = table.trim_fmt();
    text.push('\n');
    text
}

/// A dash for what is not there.
pub(crate) fn or_dash(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".to_owned(), |it| it.to_string())
}
