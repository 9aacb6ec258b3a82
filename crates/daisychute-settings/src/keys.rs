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
