//! Locations of headers and values in the text of an INI file.

use std::collections::BTreeMap;

use miette::SourceSpan;

/// A section and a key in it. `None` stands for the section's header.
type SectionKey = (String, Option<String>);

/// Locations of every header and value, found by the same rules as those of the INI parser.
#[derive(Debug, Default)]
pub(crate) struct Spans {
    // Invariant: the spans of each key are in file order.
    by_key: BTreeMap<SectionKey, Vec<SourceSpan>>,
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

    fn push(&mut self, key: SectionKey, span: SourceSpan) {
        self.by_key.entry(key).or_default().push(span);
    }

    /// Returns the location of the `n`th occurrence of a header, or of a key's value, counted from 0. Returns the last
    /// occurrence if there are fewer.
    pub(crate) fn nth(&self, section: &str, key: Option<&str>, n: usize) -> Option<SourceSpan> {
        let section_key = (section.to_owned(), key.map(str::to_owned));
        let spans = self.by_key.get(&section_key)?;
        spans.get(n).or(spans.last()).copied()
    }

    /// Returns the locations of a key's values in all sections.
    fn values_of(&self, key: &str) -> impl Iterator<Item = &SourceSpan> {
        let matching = self.by_key.iter().filter(move |((_, it), _)| it.as_deref() == Some(key));
        matching.flat_map(|(_, spans)| spans)
    }
}

fn is_comment(line: &str) -> bool {
    line.trim_start().starts_with([';', '#'])
}

/// Splits text into logical lines with their byte offsets. A backslash at the end of a line continues it on the next.
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

/// Returns the key of a line and the span of its value, or of the whole line if it has no value.
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

/// Returns the span of a line. Lines are counted from 1.
pub(crate) fn line_span(text: &str, line: usize) -> SourceSpan {
    let before = line.saturating_sub(1);
    let start: usize = text.split_inclusive('\n').take(before).map(str::len).sum();
    let len = text[start..].lines().next().unwrap_or_default().len();
    SourceSpan::from((start, len))
}

/// Masks the values of a key with `*`, byte by byte, so that all locations stay valid.
pub(crate) fn mask_values(text: &str, key: &str) -> String {
    let mut masked = text.to_owned();
    for span in Spans::locate(text).values_of(key) {
        let range = span.offset()..span.offset() + span.len();
        let mask = |byte| if byte == b'\n' { '\n' } else { '*' };
        let replacement: String = text[range.clone()].bytes().map(mask).collect();
        masked.replace_range(range, &replacement);
    }
    masked
}
