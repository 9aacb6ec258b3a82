//! One line of a log.

use std::collections::BTreeMap;

use serde::Serialize;

/// A line of a log, written as JSON or as `key=value` pairs. Whatever stands before it is passed over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LogLine {
    /// When it was written, as RFC 3339 text in UTC, which sorts by time.
    pub time: String,
    /// The process that wrote it.
    pub process: String,
    /// What happened.
    pub message: String,
    /// Everything else.
    pub fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Reads a line; none where it is no line of a daisychute process.
    #[must_use]
    pub fn parse(line: &str) -> Option<Self> {
        let fields = match (line.find("{\"time\""), line.find("time=")) {
            (Some(at), _) => json(&line[at..])?,
            (None, Some(at)) => pairs(&line[at..]),
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

fn json(text: &str) -> Option<BTreeMap<String, String>> {
    let mut values = serde_json::Deserializer::from_str(text).into_iter::<serde_json::Value>();
    let value = values.next()?.ok()?;
    let fields = value.as_object()?;
    let text = |it: &serde_json::Value| it.as_str().map_or_else(|| it.to_string(), str::to_owned);
    Some(fields.iter().map(|(key, it)| (key.clone(), text(it))).collect())
}

/// Reads `key=value` pairs; a value in quotation marks may hold spaces and escapes.
fn pairs(text: &str) -> BTreeMap<String, String> {
    let mut found = BTreeMap::new();
    let mut rest = text.trim();
    while let Some((key, after)) = rest.split_once('=') {
        let key = key.trim().to_owned();
        let (value, left) = match after.strip_prefix('"') {
            Some(quoted) => quoted_value(quoted),
            None => plain_value(after),
        };
        found.insert(key, value);
        rest = left;
    }
    found
}

fn plain_value(text: &str) -> (String, &str) {
    let end = text.find(char::is_whitespace).unwrap_or(text.len());
    (text[..end].to_owned(), &text[end..])
}

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
