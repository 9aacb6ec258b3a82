//! A parsed INI file: its sections, with the location of each key.

use std::collections::BTreeMap;

use ini::{Ini, ParseOption, Properties};
use miette::SourceSpan;

use crate::field::Field;
use crate::hint::Hint;
use crate::keys::split_header;
use crate::problem::{Problem, Problems};
use crate::spans::{Spans, line_span};
use crate::{SectionKeys, SettingsError, file};

/// A parsed INI file.
#[derive(Debug)]
pub(crate) struct Document {
    ini: Ini,
    spans: Spans,
}

/// One section of a file. It has no keys if the file lacks it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Section<'a> {
    document: &'a Document,
    /// Section header without brackets.
    header: &'a str,
    properties: Option<&'a Properties>,
}

/// Names that are known or reserved in one section.
struct SectionNames<'a> {
    section: &'a str,
    known: &'a [&'static str],
    reserved: &'a [&'a str],
}

impl Document {
    /// Takes values literally, without quoting or escapes.
    const OPTIONS: ParseOption = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        enabled_indented_mutiline_value: false,
        enabled_preserve_key_leading_whitespace: false,
    };

    pub(crate) fn parse(text: &str) -> Result<Self, Problem> {
        match Ini::load_from_str_opt(text, Self::OPTIONS) {
            Ok(ini) => Ok(Self { ini, spans: Spans::locate(text) }),
            Err(source) => Err(Problem::Syntax { at: line_span(text, source.line), source }),
        }
    }

    /// Parses a file, checks that it contains only these `sections` and converts it by `read`. Errors show `file` as its
    /// name.
    pub(crate) fn check<T>(
        file: &str,
        text: &str,
        sections: &[SectionKeys],
        read: impl FnOnce(&Self) -> Result<T, Problems>,
    ) -> Result<T, SettingsError> {
        file::check_len(file, text)?;
        let rejected = |problems| SettingsError::rejected(file, text, problems);
        let document = Self::parse(text).map_err(|it| rejected(it.into()))?;
        let mut problems = Problems::default();
        document.check_keys(sections, &[], &mut problems);
        match problems.record(read(&document)) {
            Some(checked) if problems.is_empty() => Ok(checked),
            _ => Err(rejected(problems)),
        }
    }

    /// Returns the section with this header, without keys if the file lacks it.
    pub(crate) fn section<'a>(&'a self, header: &'a str) -> Section<'a> {
        Section { document: self, header, properties: self.ini.section(Some(header)) }
    }

    /// Returns the sections `[kind NAME]` as pairs of name and section, in file order. Of sections with the same name,
    /// only the first is returned.
    pub(crate) fn named_sections<'a>(&'a self, kind: &str) -> Vec<(&'a str, Section<'a>)> {
        let mut found: Vec<(&str, Section<'_>)> = Vec::new();
        for header in self.ini.sections().flatten() {
            let Some((first, name)) = split_header(header) else { continue };
            if first == kind && !found.iter().any(|(it, _)| *it == name) {
                found.push((name, self.section(header)));
            }
        }
        found
    }

    /// Records every section and key that is not in `known`, and every duplicate. Names in `reserved` get a message of
    /// their own.
    pub(crate) fn check_keys(
        &self,
        known: &[SectionKeys],
        reserved: &[&str],
        problems: &mut Problems,
    ) {
        let mut seen: BTreeMap<Vec<&str>, usize> = BTreeMap::new();
        for (header, properties) in &self.ini {
            let header = header.unwrap_or_default();
            if header.is_empty() {
                self.check_keys_outside_sections(properties, problems);
                continue;
            }
            let count = seen.entry(header.split_whitespace().collect()).or_default();
            *count += 1;
            if *count > 1 {
                let at = self.spans.nth(header, None, *count - 1);
                problems.push(Problem::DuplicateSection { section: header.to_owned(), at });
            }
            match known.iter().find(|it| it.matches(header)) {
                Some(section) => {
                    let names = SectionNames { section: header, known: section.keys, reserved };
                    self.check_section(&names, properties, problems);
                }
                None => problems.push(self.unknown_section(header, known, reserved)),
            }
        }
    }

    fn check_keys_outside_sections(&self, properties: &Properties, problems: &mut Problems) {
        for (key, _) in properties {
            let at = self.spans.nth("", Some(key), 0);
            problems.push(Problem::OutsideSections { key: key.to_owned(), at });
        }
    }

    fn check_section(
        &self,
        names: &SectionNames<'_>,
        properties: &Properties,
        problems: &mut Problems,
    ) {
        let section = names.section;
        let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
        for (key, _) in properties {
            let count = seen.entry(key).or_default();
            *count += 1;
            if let Some((first, _)) = key.split_once('\n') {
                let at = self.spans.nth(section, Some(first.trim()), 0);
                problems.push(Problem::NoValue { section: section.to_owned(), at });
            } else if !names.known.contains(&key) {
                problems.push(self.unknown_key(names, key));
            } else if *count > 1 {
                let at = self.spans.nth(section, Some(key), *count - 1);
                let (section, key) = (section.to_owned(), key.to_owned());
                problems.push(Problem::DuplicateKey { section, key, at });
            }
        }
    }

    fn unknown_section(&self, header: &str, known: &[SectionKeys], reserved: &[&str]) -> Problem {
        let section = header.to_owned();
        let at = self.spans.nth(header, None, 0);
        let first = header.split_whitespace().next().unwrap_or_default();
        if reserved.contains(&first) {
            return Problem::NotForOperators { section, key: None, at };
        }
        let hint = Hint::new(first, known.iter().map(SectionKeys::header));
        Problem::UnknownSection { section, hint, at }
    }

    fn unknown_key(&self, names: &SectionNames<'_>, key: &str) -> Problem {
        let section = names.section.to_owned();
        let at = self.spans.nth(names.section, Some(key), 0);
        if names.reserved.contains(&key) {
            return Problem::NotForOperators { section, key: Some(key.to_owned()), at };
        }
        let hint = Hint::new(key, names.known.iter().map(|it| (*it).to_owned()));
        Problem::UnknownKey { section, key: key.to_owned(), hint, at }
    }
}

impl<'a> Section<'a> {
    pub(crate) fn header(&self) -> &'a str {
        self.header
    }

    /// Returns the location of the section's header.
    pub(crate) fn at(&self) -> Option<SourceSpan> {
        self.document.spans.nth(self.header, None, 0)
    }

    /// Returns the field for a key of this section, without a value if the file doesn't set the key.
    pub(crate) fn field(&self, key: &'static str) -> Field {
        let value = self.properties.and_then(|it| it.get(key)).map(str::to_owned);
        let present_key = value.as_ref().map(|_| key);
        let at = self.document.spans.nth(self.header, present_key, 0);
        Field::new(self.header, key, value, at)
    }
}
