//! Differences between two configurations, key by key.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use daisychute_core::Configuration;
use serde::Serialize;

use super::{ConfigurationFile, write};
use crate::SettingsError;

/// What is shown in place of a token.
const COVERED: &str = "…";

/// One key that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// The section; empty for none.
    pub section: String,
    /// The key; none where the section has no keys.
    pub key: Option<String>,
    /// Its value in the first configuration.
    pub before: Option<String>,
    /// Its value in the second.
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
    // Invariant: changes of one section stand together.
    changes: Vec<Change>,
}

type Keys = BTreeMap<(String, Option<String>), String>;

impl ConfigurationDiff {
    /// What changes from one configuration to another.
    #[must_use]
    pub fn between(before: &Configuration, after: &Configuration) -> Self {
        let (before, after) = (keys(before), keys(after));
        let places: BTreeSet<_> = before.keys().chain(after.keys()).collect();
        let changed = places.into_iter().filter(|it| before.get(*it) != after.get(*it));
        let change = |place: &(String, Option<String>)| {
            let (section, key) = place.clone();
            let (before, after) = (before.get(place).cloned(), after.get(place).cloned());
            Change { section, key, before, after }.covered()
        };
        Self { changes: changed.map(change).collect() }
    }

    /// Whether the two are the same.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// The keys that differ.
    #[must_use]
    pub fn changes(&self) -> &[Change] {
        &self.changes
    }
}

/// All keys of a configuration. A section is there also where it has no keys.
fn keys(configuration: &Configuration) -> Keys {
    let ini = write::to_ini(&ConfigurationFile::from(configuration.clone()));
    let mut found = Keys::new();
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
    /// The same change, without the values of a token.
    fn covered(mut self) -> Self {
        if self.key.as_deref() == Some(SettingsError::SECRET_KEY) {
            let cover = |value: Option<String>| value.map(|_| COVERED.to_owned());
            self.before = cover(self.before);
            self.after = cover(self.after);
        }
        self
    }

    fn write(&self, f: &mut fmt::Formatter<'_>, sign: char, value: &Option<String>) -> fmt::Result {
        match (value, &self.key) {
            (Some(value), Some(key)) => writeln!(f, "{sign} {key} = {value}"),
            _ => Ok(()),
        }
    }

    /// The sign before the section: whether the section itself comes or goes.
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
