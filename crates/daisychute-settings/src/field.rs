//! Unchecked keys of a section.

use miette::SourceSpan;

use crate::problem::Problem;
use crate::rule::Rule;

/// A key of a section with its unchecked value, if the file sets one.
#[derive(Debug, Clone)]
pub(crate) struct Field {
    section: String,
    key: &'static str,
    value: Option<String>,
    /// Location of the value in the file, or of the section's header if the key isn't set. `None` if the section is
    /// missing too.
    at: Option<SourceSpan>,
}

impl Field {
    pub(crate) fn new(
        section: &str,
        key: &'static str,
        value: Option<String>,
        at: Option<SourceSpan>,
    ) -> Self {
        Self { section: section.to_owned(), key, value, at }
    }

    pub(crate) fn at(&self) -> Option<SourceSpan> {
        self.at
    }

    /// Returns the checked value. A missing key is an error.
    pub(crate) fn required<R: Rule>(&self, rule: &R) -> Result<R::Value, Problem> {
        match &self.value {
            Some(raw) => self.checked(raw, rule),
            None => Err(self.missing(rule)),
        }
    }

    /// Returns the checked value, or `None` if the key isn't set.
    pub(crate) fn optional<R: Rule>(&self, rule: &R) -> Result<Option<R::Value>, Problem> {
        self.value.as_ref().map(|raw| self.checked(raw, rule)).transpose()
    }

    /// Returns the checked value, or `None` if the key isn't set or its value is empty.
    pub(crate) fn filled<R: Rule>(&self, rule: &R) -> Result<Option<R::Value>, Problem> {
        let value = self.value.as_ref().filter(|it| !it.trim().is_empty());
        value.map(|raw| self.checked(raw, rule)).transpose()
    }

    /// Returns the checked value, or `default` if the key isn't set.
    pub(crate) fn optional_or<R: Rule>(
        &self,
        default: R::Value,
        rule: &R,
    ) -> Result<R::Value, Problem> {
        Ok(self.optional(rule)?.unwrap_or(default))
    }

    /// Returns an error if the key is set, because a process with this role doesn't use it.
    pub(crate) fn must_be_absent(&self, role: &'static str) -> Result<(), Problem> {
        let Some(value) = self.value.clone() else { return Ok(()) };
        let section = self.section.clone();
        Err(Problem::NotForRole { section, key: self.key, value, role, at: self.at })
    }

    fn checked<R: Rule>(&self, raw: &str, rule: &R) -> Result<R::Value, Problem> {
        rule.check(raw).ok_or_else(|| Problem::BadValue {
            section: self.section.clone(),
            key: self.key,
            value: if R::SECRET { "…".to_owned() } else { raw.to_owned() },
            accepted: rule.accepted(),
            at: self.at,
        })
    }

    fn missing<R: Rule>(&self, rule: &R) -> Problem {
        Problem::MissingKey {
            section: self.section.clone(),
            key: self.key,
            accepted: rule.accepted(),
            at: self.at,
        }
    }
}

/// Declares the raw struct of a section, with an unchecked [`Field`] for each key, and the list of its keys.
macro_rules! raw_section {
    ($(#[$doc:meta])* $name:ident { $($field:ident = $key:literal,)* }) => {
        $(#[$doc])*
        #[derive(Debug, Clone)]
        pub(crate) struct $name {
            $(pub(crate) $field: $crate::field::Field,)*
        }

        impl $name {
            pub(crate) const KEYS: &'static [&'static str] = &[$($key,)*];

            pub(crate) fn read(section: $crate::document::Section<'_>) -> Self {
                Self { $($field: section.field($key),)* }
            }
        }
    };
}

pub(crate) use raw_section;
