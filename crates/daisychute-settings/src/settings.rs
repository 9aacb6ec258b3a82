//! The settings of one process.

use std::path::Path;

use crate::document::Document;
use crate::limits::RawLimits;
use crate::listen::RawListen;
use crate::log::RawLog;
use crate::platform::{RawPeers, RawPlatform};
use crate::problem::Problems;
use crate::process::RawProcess;
use crate::role::RawEndpoint;
use crate::timing::RawTiming;
use crate::{
    LimitSettings, ListenSettings, LogSettings, PeerSettings, PlatformSettings, ProcessSettings,
    RoleSettings, SectionKeys, SettingsError, TimingSettings, file,
};

/// The settings of one process, checked as a whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Who it is and where it runs.
    pub process: ProcessSettings,
    /// Its role, with the settings that only this role has.
    pub role: RoleSettings,
    /// The addresses that it listens on.
    pub listen: ListenSettings,
    /// The platform's object API.
    pub platform: PlatformSettings,
    /// Other processes of the system.
    pub peers: PeerSettings,
    /// Bounds on what callers and peers may use.
    pub limits: LimitSettings,
    /// What is logged and how.
    pub log: LogSettings,
    /// Heartbeats, leases and stops.
    pub timing: TimingSettings,
}

/// All sections as they stand in the file.
#[derive(Debug, Clone)]
struct RawSettings {
    process: RawProcess,
    listen: RawListen,
    platform: RawPlatform,
    endpoint: RawEndpoint,
    peers: RawPeers,
    limits: RawLimits,
    log: RawLog,
    timing: RawTiming,
}

impl Settings {
    /// The sections and keys that a settings file may hold.
    pub const SECTIONS: &'static [SectionKeys] = &[
        SectionKeys { section: "process", named: false, keys: RawProcess::KEYS },
        SectionKeys { section: "listen", named: false, keys: RawListen::KEYS },
        SectionKeys { section: "platform", named: false, keys: RawPlatform::KEYS },
        SectionKeys { section: "endpoint", named: false, keys: RawEndpoint::KEYS },
        SectionKeys { section: "peers", named: false, keys: RawPeers::KEYS },
        SectionKeys { section: "limits", named: false, keys: RawLimits::KEYS },
        SectionKeys { section: "log", named: false, keys: RawLog::KEYS },
        SectionKeys { section: "timing", named: false, keys: RawTiming::KEYS },
    ];

    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// The file can't be read, is too large, or has faults; all of them are listed.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let path = path.as_ref();
        let text = file::read(path)?;
        Self::parse(&path.to_string_lossy(), &text)
    }

    /// Checks the text of a settings file. `file` is named in errors.
    ///
    /// # Errors
    ///
    /// The text is too large or has faults; all of them are listed.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        Document::check(file, text, Self::SECTIONS, |it| Self::try_from(&RawSettings::read(it)))
    }
}

impl RawSettings {
    fn read(document: &Document) -> Self {
        Self {
            process: RawProcess::read(document.section("process")),
            listen: RawListen::read(document.section("listen")),
            platform: RawPlatform::read(document.section("platform")),
            endpoint: RawEndpoint::read(document.section("endpoint")),
            peers: RawPeers::read(document.section("peers")),
            limits: RawLimits::read(document.section("limits")),
            log: RawLog::read(document.section("log")),
            timing: RawTiming::read(document.section("timing")),
        }
    }
}

impl TryFrom<&RawSettings> for Settings {
    type Error = Problems;

    fn try_from(raw: &RawSettings) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let process = problems.keep(ProcessSettings::try_from(&raw.process));
        let role = problems.keep(RoleSettings::check(&raw.process, &raw.listen, &raw.endpoint));
        let listen = problems.keep(ListenSettings::try_from(&raw.listen));
        let platform = problems.keep(PlatformSettings::try_from(&raw.platform));
        let peers = problems.keep(PeerSettings::try_from(&raw.peers));
        let limits = problems.keep(LimitSettings::try_from(&raw.limits));
        let log = problems.keep(LogSettings::try_from(&raw.log));
        let timing = problems.keep(TimingSettings::try_from(&raw.timing));
        let checked = (|| {
            Some(Self {
                process: process?,
                role: role?,
                listen: listen?,
                platform: platform?,
                peers: peers?,
                limits: limits?,
                log: log?,
                timing: timing?,
            })
        })();
        checked.ok_or(problems)
    }
}
