//! Where headers and values stand in the text of an INI file.

use std::collections::BTreeMap;

use miette::SourceSpan;

/// A key of a section; none is the section's header.
type Place = (String, Option<String>);

/// The place of every header and value, by the same rules as the reader's.
#[derive(Debug, Default)]
pub(crate) struct Spans {
    // Invariant: spans of one place stand in the order of the file.
    places: BTreeMap<Place, Vec<SourceSpan>>,
}

impl Spans {
    pub(crate) fn locate(text: &str) -> Self {
        let mut spans = Self::default();
        let mut section = String::new();
        for (offset, line) in logical_lines(text) {
            let start = offset + (line.len() - line.trim_start().len());
            let line = line.trim();
            if line.is_empty() || is_comment(line) {
                continue;
            }
            if let Some(rest) = line.strip_prefix('[') {
                section = rest.split(']').next().unwrap_or_default().trim().to_owned();
                spans.push((section.clone(), None), SourceSpan::from((start, line.len())));
                continue;
            }
            let (key, span) = key_span(start, line);
            spans.push((section.clone(), Some(key)), span);
        }
        spans
    }

    fn push(&mut self, place: Place, span: SourceSpan) {
        self.places.entry(place).or_default().push(span);
    }

    /// The place of a header, or of a key's value, that stands there for the `n`th time, counted from 0.
    pub(crate) fn nth(&self, section: &str, key: Option<&str>, n: usize) -> Option<SourceSpan> {
        let place = (section.to_owned(), key.map(str::to_owned));
        let spans = self.places.get(&place)?;
        spans.get(n).or(spans.last()).copied()
    }

    /// The places of a key's values in all sections.
    fn of_key(&self, key: &str) -> impl Iterator<Item = &SourceSpan> {
        let of_key = self.places.iter().filter(move |((_, it), _)| it.as_deref() == Some(key));
        of_key.flat_map(|(_, spans)| spans)
    }
}

fn is_comment(line: &str) -> bool {
    line.trim_start().starts_with([';', '#'])
}

/// The lines of a text with their offsets. A line that ends in a backslash goes on with the next one.
fn logical_lines(text: &str) -> Vec<(usize, &str)> {
    let mut lines = Vec::new();
    let (mut start, mut end) = (0, 0);
    for line in text.split_inclusive('\n') {
        end += line.len();
        let logical = &text[start..end];
        if logical.trim_end_matches(['\r', '\n']).ends_with('\\') && !is_comment(logical) {
            continue;
        }
        lines.push((start, logical));
        start = end;
    }
    lines.push((start, &text[start..]));
    lines
}

/// The key of a line and the span of its value, or of the whole line where the value is empty.
fn key_span(start: usize, line: &str) -> (String, SourceSpan) {
    let Some(split) = line.find(['=', ':']) else {
        return (line.to_owned(), SourceSpan::from((start, line.len())));
    };
    let key = line[..split].trim().to_owned();
    let value = line[split + 1..].trim();
    if value.is_empty() {
        return (key, SourceSpan::from((start, line.len())));
    }
    (key, SourceSpan::from((start + line.len() - value.len(), value.len())))
}

/// The span of a line that is counted from 1.
pub(crate) fn line_span(text: &str, line: usize) -> SourceSpan {
    let before = line.saturating_sub(1);
    let start: usize = text.split_inclusive('\n').take(before).map(str::len).sum();
    let len = text[start..].lines().next().unwrap_or_default().len();
    SourceSpan::from((start, len))
}

/// The text with the values of a key covered. No place in it moves.
pub(crate) fn cover(text: &str, key: &str) -> String {
    let mut covered = text.to_owned();
    for span in Spans::locate(text).of_key(key) {
        let range = span.offset()..span.offset() + span.len();
        let star = |byte| if byte == b'\n' { '\n' } else { '*' };
        let stars: String = text[range.clone()].bytes().map(star).collect();
        covered.replace_range(range, &stars);
    }
    covered
}
