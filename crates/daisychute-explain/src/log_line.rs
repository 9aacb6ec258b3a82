//! Parsing of log lines.

use std::collections::BTreeMap;

use serde::Serialize;

/// A log line of a daisychute process, in JSON or as `key=value` pairs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LogLine {
    /// Time of the line as RFC 3339 text in UTC, so that the order of the texts is that of the times.
    pub time: String,
    /// Name of the process that wrote the line.
    pub process: String,
    /// Message text, such as `request ended`.
    pub message: String,
    /// All other keys with their values as text.
    pub fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Parses a line, skipping any text before the `time` key. `None` if it is not from a daisychute process.
    #[must_use]
    pub fn parse(line: &str) -> Option<Self> {
        let fields = match (line.find("{\"time\""), line.find("time=")) {
            (Some(at), _) => parse_json(&line[at..])?,
            (None, Some(at)) => parse_pairs(&line[at..]),
            (None, None) => return None,
        };
        Self::from_fields(fields)
    }

    fn from_fields(mut fields: BTreeMap<String, String>) -> Option<Self> {
        let time = fields.remove("time")?;
        let process = fields.remove("process")?;
        let message = fields.remove("message")?;
        Some(Self { time, process, message, fields })
    }

    /// The value of a field, or an empty text.
    #[must_use]
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

fn parse_json(text: &str) -> Option<BTreeMap<String, String>> {
    let mut values = serde_json::Deserializer::from_str(text).into_iter::<serde_json::Value>();
    let value = values.next()?.ok()?;
    let fields = value.as_object()?;
    let text = |it: &serde_json::Value| it.as_str().map_or_else(|| it.to_string(), str::to_owned);
    Some(fields.iter().map(|(key, it)| (key.clone(), text(it))).collect())
}

/// Parses `key=value` pairs; a value in quotation marks may hold spaces and escaped characters.
fn parse_pairs(text: &str) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let mut rest = text.trim();
    while let Some((key, after)) = rest.split_once('=') {
        let key = key.trim().to_owned();
        let (value, remainder) = match after.strip_prefix('"') {
            Some(quoted) => quoted_value(quoted),
            None => plain_value(after),
        };
        fields.insert(key, value);
        rest = remainder;
    }
    fields
}

/// Splits a value off that ends at the next blank.
fn plain_value(text: &str) -> (String, &str) {
    let end = text.find(char::is_whitespace).unwrap_or(text.len());
    (text[..end].to_owned(), &text[end..])
}

/// Splits a value off that ends at the next quotation mark, and unescapes it.
fn quoted_value(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return (value, &text[at + 1..]),
            '\\' => value.extend(chars.next().map(|(_, escaped)| escaped)),
            c => value.push(c),
        }
    }
    (value, "")
}
