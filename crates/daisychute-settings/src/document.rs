//! An INI file split into sections, with the place of each key.

use std::collections::BTreeMap;

use ini::{Ini, ParseOption, Properties};
use miette::SourceSpan;

use crate::SectionKeys;
use crate::field::Field;
use crate::hint::Hint;
use crate::keys::split_header;
use crate::problem::{Problem, Problems};

/// A key of a section; none is the section's header.
type Place = (String, Option<String>);

/// A file split into sections.
#[derive(Debug)]
pub(crate) struct Document {
    ini: Ini,
    // Invariant: spans of one place stand in the order of the file.
    spans: BTreeMap<Place, Vec<SourceSpan>>,
}

/// One section of a file, or a section that the file lacks.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Section<'a> {
    document: &'a Document,
    /// The header without its brackets.
    header: &'a str,
    properties: Option<&'a Properties>,
}

/// What the keys of one section may be.
struct Keys<'a> {
    section: &'a str,
    known: &'a [&'static str],
    refused: &'a [&'a str],
}

impl Document {
    /// Values are taken literally: no quotes and no escapes.
    const OPTIONS: ParseOption = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        enabled_indented_mutiline_value: false,
        enabled_preserve_key_leading_whitespace: false,
    };

    pub(crate) fn parse(text: &str) -> Result<Self, Problem> {
        match Ini::load_from_str_opt(text, Self::OPTIONS) {
            Ok(ini) => Ok(Self { ini, spans: locate(text) }),
            Err(source) => Err(Problem::Syntax { at: line_span(text, source.line), source }),
        }
    }

    /// The section with this header, empty where the file lacks it.
    pub(crate) fn section<'a>(&'a self, header: &'a str) -> Section<'a> {
        Section { document: self, header, properties: self.ini.section(Some(header)) }
    }

    /// The sections with a header of two words, the first of which is `kind`, in the order of the file.
    pub(crate) fn named<'a>(&'a self, kind: &str) -> Vec<(&'a str, Section<'a>)> {
        let mut found: Vec<(&str, Section<'_>)> = Vec::new();
        for header in self.ini.sections().flatten() {
            let Some((first, name)) = split_header(header) else { continue };
            if first == kind && !found.iter().any(|(it, _)| *it == name) {
                found.push((name, self.section(header)));
            }
        }
        found
    }

    /// Notes every section and key that is not in `known`, and all that stand twice. Words in `refused` get a reason
    /// of their own.
    pub(crate) fn check_keys(
        &self,
        known: &[SectionKeys],
        refused: &[&str],
        problems: &mut Problems,
    ) {
        let mut seen: BTreeMap<Vec<&str>, usize> = BTreeMap::new();
        for (header, properties) in &self.ini {
            let header = header.unwrap_or_default();
            if header.is_empty() {
                self.check_outside(properties, problems);
                continue;
            }
            let count = seen.entry(header.split_whitespace().collect()).or_default();
            *count += 1;
            if *count > 1 {
                let at = self.nth_span(header, None, *count - 1);
                problems.push(Problem::DuplicateSection { section: header.to_owned(), at });
            }
            match known.iter().find(|it| it.matches(header)) {
                Some(section) => {
                    let keys = Keys { section: header, known: section.keys, refused };
                    self.check_section(&keys, properties, problems);
                }
                None => problems.push(self.unknown_section(header, known, refused)),
            }
        }
    }

    fn check_outside(&self, properties: &Properties, problems: &mut Problems) {
        for (key, _) in properties {
            let at = self.nth_span("", Some(key), 0);
            problems.push(Problem::OutsideSections { key: key.to_owned(), at });
        }
    }

    fn check_section(&self, keys: &Keys<'_>, properties: &Properties, problems: &mut Problems) {
        let section = keys.section;
        let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
        for (key, _) in properties {
            let count = seen.entry(key).or_default();
            *count += 1;
            if let Some((first, _)) = key.split_once('\n') {
                let at = self.nth_span(section, Some(first.trim()), 0);
                problems.push(Problem::NoValue { section: section.to_owned(), at });
            } else if !keys.known.contains(&key) {
                problems.push(self.unknown_key(keys, key));
            } else if *count > 1 {
                let at = self.nth_span(section, Some(key), *count - 1);
                let (section, key) = (section.to_owned(), key.to_owned());
                problems.push(Problem::DuplicateKey { section, key, at });
            }
        }
    }

    fn unknown_section(&self, header: &str, known: &[SectionKeys], refused: &[&str]) -> Problem {
        let section = header.to_owned();
        let at = self.nth_span(header, None, 0);
        let first = header.split_whitespace().next().unwrap_or_default();
        if refused.contains(&first) {
            return Problem::NotForOperators { section, key: None, at };
        }
        let hint = Hint::new(first, known.iter().map(SectionKeys::header));
        Problem::UnknownSection { section, hint, at }
    }

    fn unknown_key(&self, keys: &Keys<'_>, key: &str) -> Problem {
        let section = keys.section.to_owned();
        let at = self.nth_span(keys.section, Some(key), 0);
        if keys.refused.contains(&key) {
            return Problem::NotForOperators { section, key: Some(key.to_owned()), at };
        }
        let hint = Hint::new(key, keys.known.iter().map(|it| (*it).to_owned()));
        Problem::UnknownKey { section, key: key.to_owned(), hint, at }
    }

    fn nth_span(&self, section: &str, key: Option<&str>, n: usize) -> Option<SourceSpan> {
        let place = (section.to_owned(), key.map(str::to_owned));
        let spans = self.spans.get(&place)?;
        spans.get(n).or(spans.last()).copied()
    }
}

impl<'a> Section<'a> {
    pub(crate) fn header(&self) -> &'a str {
        self.header
    }

    /// The place of its header.
    pub(crate) fn at(&self) -> Option<SourceSpan> {
        self.document.nth_span(self.header, None, 0)
    }

    /// The key of this section, whether or not the file gives it.
    pub(crate) fn field(&self, key: &'static str) -> Field {
        let value = self.properties.and_then(|it| it.get(key)).map(str::to_owned);
        let place = value.as_ref().map(|_| key);
        let at = self.document.nth_span(self.header, place, 0);
        Field::new(self.header, key, value, at)
    }
}

/// The place of every header and value, by the same rules as the reader's.
fn locate(text: &str) -> BTreeMap<Place, Vec<SourceSpan>> {
    let mut spans: BTreeMap<Place, Vec<SourceSpan>> = BTreeMap::new();
    let mut section = String::new();
    let mut offset = 0;
    for line in text.split_inclusive('\n') {
        let start = offset + (line.len() - line.trim_start().len());
        offset += line.len();
        let line = line.trim();
        if line.is_empty() || line.starts_with([';', '#']) {
            continue;
        }
        if let Some(rest) = line.strip_prefix('[') {
            section = rest.split(']').next().unwrap_or_default().trim().to_owned();
            let span = SourceSpan::from((start, line.len()));
            spans.entry((section.clone(), None)).or_default().push(span);
            continue;
        }
        let (key, span) = key_span(start, line);
        spans.entry((section.clone(), Some(key))).or_default().push(span);
    }
    spans
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
fn line_span(text: &str, line: usize) -> SourceSpan {
    let before = line.saturating_sub(1);
    let start: usize = text.split_inclusive('\n').take(before).map(str::len).sum();
    let len = text[start..].lines().next().unwrap_or_default().len();
    SourceSpan::from((start, len))
}

/// The text with the values of a key covered. No place in it moves.
pub(crate) fn cover(text: &str, key: &str) -> String {
    let spans = locate(text);
    let secret = |place: &Place| place.1.as_deref() == Some(key);
    let mut covered = text.to_owned();
    for span in spans.iter().filter(|(place, _)| secret(place)).flat_map(|(_, it)| it) {
        let stars = "*".repeat(span.len());
        covered.replace_range(span.offset()..span.offset() + span.len(), &stars);
    }
    covered
}
