//! One key of a raw section.

use miette::SourceSpan;

use crate::problem::Problem;
use crate::rule::Rule;

/// A key as it stands in the file, not yet checked.
#[derive(Debug, Clone)]
pub(crate) struct Field {
    section: String,
    key: &'static str,
    value: Option<String>,
    /// The value in the file, or the section's header where there is no value.
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

    /// The checked value, which must be there.
    pub(crate) fn required<R: Rule>(&self, rule: &R) -> Result<R::Value, Problem> {
        match &self.value {
            Some(raw) => self.checked(raw, rule),
            None => Err(self.missing(rule)),
        }
    }

    /// The checked value, where there is one.
    pub(crate) fn optional<R: Rule>(&self, rule: &R) -> Result<Option<R::Value>, Problem> {
        self.value.as_ref().map(|raw| self.checked(raw, rule)).transpose()
    }

    /// The checked value, or `default` where there is none.
    pub(crate) fn or<R: Rule>(&self, default: R::Value, rule: &R) -> Result<R::Value, Problem> {
        Ok(self.optional(rule)?.unwrap_or(default))
    }

    /// Refuses a value, because a process with this role does not use the key.
    pub(crate) fn absent(&self, role: &'static str) -> Result<(), Problem> {
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

/// Declares a raw section: a struct with one unchecked [`Field`] for each key, and the list of its keys.
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
