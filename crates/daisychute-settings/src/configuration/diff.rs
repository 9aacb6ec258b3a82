//! Key-by-key differences between two configurations.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use daisychute_core::Configuration;
use serde::Serialize;

use super::{ConfigurationFile, write};
use crate::SettingsError;

/// Shown in place of a token.
const MASK: &str = "…";

/// A key or section that differs between two configurations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Section header without brackets; empty for keys outside any section.
    pub section: String,
    /// Name of the key, or `None` if the section itself was added or removed.
    pub key: Option<String>,
    /// Value in the first configuration, or `None` if the key is absent there.
    pub before: Option<String>,
    /// Value in the second configuration, or `None` if the key is absent there.
    pub after: Option<String>,
}

/// The differences between two configurations.
///
/// ```
/// use daisychute_settings::{ConfigurationDiff, ConfigurationFile};
///
/// let old = ConfigurationFile::parse("old", "[class a]\ndeadline = 2s\n")?;
/// let new = ConfigurationFile::parse("new", "[class a]\ndeadline = 3s\n")?;
/// let diff = ConfigurationDiff::between(old.configuration(), new.configuration());
/// assert_eq!(diff.to_string(), "[class a]\n- deadline = 2s\n+ deadline = 3s\n");
/// # Ok::<(), daisychute_settings::SettingsError>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct ConfigurationDiff {
    // Invariant: changes of the same section are adjacent.
    changes: Vec<Change>,
}

type ValuesByKey = BTreeMap<(String, Option<String>), String>;

impl ConfigurationDiff {
    /// Compares two configurations.
    #[must_use]
    pub fn between(before: &Configuration, after: &Configuration) -> Self {
        let (before, after) = (values_by_key(before), values_by_key(after));
        let all_keys: BTreeSet<_> = before.keys().chain(after.keys()).collect();
        let changed = all_keys.into_iter().filter(|it| before.get(*it) != after.get(*it));
        let change = |section_key: &(String, Option<String>)| {
            let (section, key) = section_key.clone();
            let (before, after) =
                (before.get(section_key).cloned(), after.get(section_key).cloned());
            Change { section, key, before, after }.masked()
        };
        Self { changes: changed.map(change).collect() }
    }

    /// Returns whether the two configurations are equal.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Returns the keys and sections that differ, sorted by section and key.
    #[must_use]
    pub fn changes(&self) -> &[Change] {
        &self.changes
    }
}

/// Returns the values of all keys of a configuration. Each section has an entry of its own without a key, so that
/// sections without keys are compared too.
fn values_by_key(configuration: &Configuration) -> ValuesByKey {
    let ini = write::to_ini(&ConfigurationFile::from(configuration.clone()));
    let mut found = ValuesByKey::new();
    for (section, properties) in &ini {
        let section = section.unwrap_or_default();
        found.insert((section.to_owned(), None), String::new());
        for (key, value) in properties {
            found.insert((section.to_owned(), Some(key.to_owned())), value.to_owned());
        }
    }
    found
}

impl Change {
    /// Masks the values if the key is a token.
    fn masked(mut self) -> Self {
        if self.key.as_deref() == Some(SettingsError::SECRET_KEY) {
            let mask = |value: Option<String>| value.map(|_| MASK.to_owned());
            self.before = mask(self.before);
            self.after = mask(self.after);
        }
        self
    }

    fn write(&self, f: &mut fmt::Formatter<'_>, sign: char, value: &Option<String>) -> fmt::Result {
        match (value, &self.key) {
            (Some(value), Some(key)) => writeln!(f, "{sign} {key} = {value}"),
            _ => Ok(()),
        }
    }

    /// Returns the sign in front of the section header: `- ` if the section was removed, `+ ` if it was added.
    fn section_sign(&self) -> &'static str {
        match (&self.key, &self.before) {
            (Some(_), _) => "",
            (None, Some(_)) => "- ",
            (None, None) => "+ ",
        }
    }
}

impl fmt::Display for ConfigurationDiff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut section = None;
        for change in &self.changes {
            if section != Some(&change.section) {
                section = Some(&change.section);
                writeln!(f, "{}[{}]", change.section_sign(), change.section)?;
            }
            change.write(f, '-', &change.before)?;
            change.write(f, '+', &change.after)?;
        }
        Ok(())
    }
}
