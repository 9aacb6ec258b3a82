//! Configuration of a deployment as an INI file.

mod class;
mod deployment;
mod diff;
mod consistency;
mod model;
mod reserved;
mod service;
mod tenant;
mod write;

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

use daisychute_core::{ClassName, Configuration, ModelName, Revision, ServiceName, TenantName};

pub use self::diff::{Change, ConfigurationDiff};

use self::class::RawClass;
use self::deployment::RawDeployment;
use self::model::RawModel;
use self::reserved::RESERVED_WORDS;
use self::service::RawService;
use self::tenant::RawTenant;
use crate::document::{Document, Section};
use crate::hint::Accepted;
use crate::problem::{Problem, Problems};
use crate::{SectionKeys, SettingsError, file};

/// A configuration file in INI format: a configuration and the revision that it is based on.
///
/// ```
/// use daisychute_settings::ConfigurationFile;
///
/// let text = "\
/// [class panel]
/// precedence = first
/// deadline = 300ms
///
/// [tenant signs]
/// classes = panel
/// ";
/// let file = ConfigurationFile::parse("rabat-sale.ini", text)?;
/// let again = ConfigurationFile::parse("again.ini", &file.to_string())?;
/// assert_eq!(file, again);
/// # Ok::<(), daisychute_settings::SettingsError>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigurationFile {
    configuration: Configuration,
    base: Option<Revision>,
}

impl ConfigurationFile {
    /// The sections and keys that a configuration file may contain.
    pub const SECTIONS: &'static [SectionKeys] = &[
        SectionKeys { section: "deployment", named: false, keys: RawDeployment::KEYS },
        SectionKeys { section: "class", named: true, keys: RawClass::KEYS },
        SectionKeys { section: "tenant", named: true, keys: RawTenant::KEYS },
        SectionKeys { section: "model", named: true, keys: RawModel::KEYS },
        SectionKeys { section: "service", named: true, keys: RawService::KEYS },
    ];

    /// Reads and checks a configuration file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, is too large or is invalid. The error lists all problems.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let path = path.as_ref();
        let text = file::read(path)?;
        Self::parse(&path.to_string_lossy(), &text)
    }

    /// Parses and checks the text of a configuration file. Errors show `file` as its name.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is too large or invalid. The error lists all problems.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        file::check_len(file, text)?;
        let rejected = |problems| SettingsError::rejected(file, text, problems);
        let document = Document::parse(text).map_err(|it| rejected(it.into()))?;
        let mut problems = Problems::default();
        document.check_keys(Self::SECTIONS, RESERVED_WORDS, &mut problems);
        match problems.record(read(&document)) {
            Some(file) if problems.is_empty() => Ok(file),
            _ => Err(rejected(problems)),
        }
    }

    /// Returns the configuration that the file contains.
    #[must_use]
    pub const fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the configuration and drops the base revision.
    #[must_use]
    pub fn into_configuration(self) -> Configuration {
        self.configuration
    }

    /// Returns the accepted revision that the file is based on, or `None` if it replaces any revision.
    #[must_use]
    pub const fn base(&self) -> Option<Revision> {
        self.base
    }

    /// Sets the accepted revision that the file is based on.
    #[must_use]
    pub const fn based_on(mut self, revision: Revision) -> Self {
        self.base = Some(revision);
        self
    }
}

impl From<Configuration> for ConfigurationFile {
    fn from(configuration: Configuration) -> Self {
        Self { configuration, base: None }
    }
}

impl fmt::Display for ConfigurationFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut buf = Vec::new();
        write::to_ini(self).write_to_opt(&mut buf, write::OPTIONS).map_err(|_| fmt::Error)?;
        f.write_str(&String::from_utf8_lossy(&buf))
    }
}

fn read(document: &Document) -> Result<ConfigurationFile, Problems> {
    let mut problems = Problems::default();
    let deployment = RawDeployment::read(document.section("deployment"));
    let preference = problems.record(deployment.preference()).unwrap_or_default();
    let base = problems.record(deployment.base()).flatten();
    let classes = check_named(document, "class", &mut problems, |name: &ClassName, section| {
        RawClass::read(section).check(name)
    });
    let tenants = check_named(document, "tenant", &mut problems, |name: &TenantName, section| {
        RawTenant::read(section).check(name)
    });
    let models = check_named(document, "model", &mut problems, |name: &ModelName, section| {
        RawModel::read(section).check(name)
    });
    let services =
        check_named(document, "service", &mut problems, |name: &ServiceName, section| {
            RawService::read(section).check(name)
        });
    problems.into_result(())?;
    let configuration = Configuration { preference, classes, tenants, models, services };
    consistency::check(&configuration, document)?;
    Ok(ConfigurationFile { configuration, base })
}

/// Checks all sections `[kind NAME]` and returns the valid ones by name.
fn check_named<N, T>(
    document: &Document,
    kind: &'static str,
    problems: &mut Problems,
    check: impl Fn(&N, Section<'_>) -> Result<T, Problems>,
) -> BTreeMap<N, T>
where
    N: Ord + for<'a> TryFrom<&'a str>,
{
    let mut checked = BTreeMap::new();
    for (name, section) in document.named_sections(kind) {
        let Ok(name) = N::try_from(name) else {
            problems.push(bad_name(section));
            continue;
        };
        if let Some(value) = problems.record(check(&name, section)) {
            checked.insert(name, value);
        }
    }
    checked
}

fn bad_name(section: Section<'_>) -> Problem {
    Problem::BadName {
        section: section.header().to_owned(),
        accepted: Accepted::Name,
        at: section.at(),
    }
}
