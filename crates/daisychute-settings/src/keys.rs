//! The sections and keys that a file may hold.

/// The keys of one section.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SectionKeys {
    /// The section, or its first word where a name follows.
    pub section: &'static str,
    /// Whether the section's header holds a name after the first word, as in `[class panel]`.
    pub named: bool,
    /// Its keys.
    pub keys: &'static [&'static str],
}

impl SectionKeys {
    /// The header as it stands in a file, without its brackets.
    #[must_use]
    pub fn header(&self) -> String {
        if self.named { format!("{} NAME", self.section) } else { self.section.to_owned() }
    }

    /// Whether a header opens this section.
    pub(crate) fn matches(&self, header: &str) -> bool {
        if self.named {
            return split_header(header).is_some_and(|(first, _)| first == self.section);
        }
        header == self.section
    }
}

/// The first word of a header and the name after it.
pub(crate) fn split_header(header: &str) -> Option<(&str, &str)> {
    let (first, name) = header.trim().split_once(char::is_whitespace)?;
    Some((first, name.trim_start()))
}
