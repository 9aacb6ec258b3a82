//! Sections and keys that a file may contain.

/// A kind of section with the keys that it may contain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SectionKeys {
    /// Section header without brackets; for named sections, only the first word.
    pub section: &'static str,
    /// Whether the header has a name after the first word, as in `[class panel]`.
    pub named: bool,
    /// Names of the keys.
    pub keys: &'static [&'static str],
}

impl SectionKeys {
    /// Returns the header without brackets, with the placeholder `NAME` for named sections.
    #[must_use]
    pub fn header(&self) -> String {
        if self.named { format!("{} NAME", self.section) } else { self.section.to_owned() }
    }

    /// Returns whether a header belongs to this kind of section.
    pub(crate) fn matches(&self, header: &str) -> bool {
        if self.named {
            return split_header(header).is_some_and(|(first, _)| first == self.section);
        }
        header == self.section
    }
}

/// Splits a header into its first word and the name after it. Returns `None` if it has only one word.
pub(crate) fn split_header(header: &str) -> Option<(&str, &str)> {
    let (first, name) = header.trim().split_once(char::is_whitespace)?;
    Some((first, name.trim_start()))
}
