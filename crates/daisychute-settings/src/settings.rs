//! Settings file of an entry or agent process.

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

/// Checked settings of one entry or agent process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name and location of the process.
    pub process: ProcessSettings,
    /// Role of the process, with the settings specific to it.
    pub role: RoleSettings,
    /// Addresses that the process listens on, apart from the client address of an entry.
    pub listen: ListenSettings,
    /// Access to the platform's object API.
    pub platform: PlatformSettings,
    /// Processes to fetch shared state from while the platform is unreachable.
    pub peers: PeerSettings,
    /// Limits on the resources that clients and peers may use.
    pub limits: LimitSettings,
    /// Log level and format.
    pub log: LogSettings,
    /// Heartbeat, lease and shutdown timing.
    pub timing: TimingSettings,
}

/// All sections of the file, unchecked.
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
    /// The sections and keys that the settings file of an entry or agent may contain.
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
    /// Returns an error if the file can't be read, is too large or is invalid. The error lists all problems.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let path = path.as_ref();
        let text = file::read(path)?;
        Self::parse(&path.to_string_lossy(), &text)
    }

    /// Parses and checks the text of a settings file. Errors show `file` as its name.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is too large or invalid. The error lists all problems.
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
        let process = problems.record(ProcessSettings::try_from(&raw.process));
        let role = problems.record(RoleSettings::check(&raw.process, &raw.listen, &raw.endpoint));
        let listen = problems.record(ListenSettings::try_from(&raw.listen));
        let platform = problems.record(PlatformSettings::try_from(&raw.platform));
        let peers = problems.record(PeerSettings::try_from(&raw.peers));
        let limits = problems.record(LimitSettings::try_from(&raw.limits));
        let log = problems.record(LogSettings::try_from(&raw.log));
        let timing = problems.record(TimingSettings::try_from(&raw.timing));
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
