//! Settings file of a front.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use daisychute_core::{DataCentreName, ProcessName, RegionName};

use crate::document::Document;
use crate::field::raw_section;
use crate::log::RawLog;
use crate::problem::Problems;
use crate::rule::{
    Address, Addresses, AnyOf, CountRange, DurationRange, Flag, Name, PositiveNumber,
};
use crate::{LogSettings, SectionKeys, SettingsError, file};

raw_section! {
    /// Unchecked section `[front]`.
    RawFront {
        name = "name",
        region = "region",
        data_centre = "data-centre",
        callers = "callers",
        ready = "ready",
        inner = "inner",
        snapshots = "snapshots",
        metrics = "metrics",
        seeds = "seeds",
    }
}

raw_section! {
    /// Unchecked section `[store]`.
    RawStore {
        address = "address",
        max_silence = "max-silence",
    }
}

raw_section! {
    /// Unchecked section `[machine]`.
    RawMachine {
        processor_share = "processor-share",
        memory_mib = "memory-mib",
        descriptors = "descriptors",
    }
}

raw_section! {
    /// Unchecked section `[endpoints]`.
    RawEndpoints {
        drain_time = "drain-time",
    }
}

raw_section! {
    /// Unchecked section `[retries]`.
    RawRetries {
        ratio = "ratio",
        window = "window",
        slack = "slack",
    }
}

raw_section! {
    /// Unchecked section `[balance]`.
    RawBalance {
        max_heartbeat_delay = "max-heartbeat-delay",
    }
}

raw_section! {
    /// Unchecked section `[duties]`.
    RawDuties {
        address = "address",
        require_fence = "require-fence",
        lease = "lease",
        usage_window = "usage-window",
        usage_due = "usage-due",
        duties = "duties",
    }
}

raw_section! {
    /// Unchecked section `[stop]`.
    RawStop {
        within = "within",
    }
}

/// Checked settings of a front.
#[derive(Debug, Clone, PartialEq)]
pub struct FrontSettings {
    /// Name of the front, unique among all fronts.
    pub name: ProcessName,
    /// Region that the front runs in.
    pub region: RegionName,
    /// Data centre that the front runs in.
    pub data_centre: DataCentreName,
    /// HTTP address that clients connect to.
    pub callers: SocketAddr,
    /// HTTP address that answers the readiness checks of the load balancer.
    pub ready: SocketAddr,
    /// UDP address that receives the heartbeats of other fronts.
    pub inner: SocketAddr,
    /// Address from which other fronts fetch a snapshot of the configuration and the endpoints.
    pub snapshots: SocketAddr,
    /// HTTP address that serves metrics.
    pub metrics: SocketAddr,
    /// Snapshot addresses of fronts to fetch a snapshot from when the store is unreachable.
    pub seeds: Vec<SocketAddr>,
    /// Address of the store that holds the configuration and the endpoint records.
    pub store: SocketAddr,
    /// Time within which open connections to the store that went silent must have been replaced. It bounds how long each
    /// call that waits for changes takes.
    pub max_silence: Duration,
    /// Time for which endpoints serve after the directory has accepted that they drain.
    pub drain_time: Duration,
    /// Resources that the front may use.
    pub machine: MachineSettings,
    /// Retry budget of each service, shared by all fronts.
    pub retries: RetrySettings,
    /// Maximum time that heartbeats of other fronts are assumed to take, when requests are spread over engines by the
    /// work that these fronts have probably sent since; `None` if they aren't spread.
    pub max_heartbeat_delay: Option<Duration>,
    /// Duties that one front at a time has towards the platform.
    pub duties: DutySettings,
    /// Maximum duration of a graceful shutdown.
    pub stop_within: Duration,
    /// Log level and format.
    pub log: LogSettings,
}

/// Resources that one process may use on its machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MachineSettings {
    /// Memory limit in MiB.
    pub memory_mib: u32,
    /// Maximum number of open file descriptors.
    pub descriptors: u32,
}

/// Retry budget of a service. A retry is any send attempt after the first one of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// Retries within `window` as a share of the requests of the service, for example 0.1.
    pub ratio: f64,
    /// Time window over which requests and retries are counted.
    pub window: Duration,
    /// Number of retries within `window` that are allowed in addition to `ratio`, however few requests arrive.
    pub slack: f64,
}

/// A duty that only one front at a time has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrontDuty {
    /// Reports the usage of tenants.
    UsageReport,
    /// Scales services.
    Autoscale,
}

impl FrontDuty {
    /// The words for the duties in a settings file.
    pub const WORDS: &'static [(&'static str, Self)] =
        &[("usage_report", Self::UsageReport), ("autoscale", Self::Autoscale)];
}

/// The platform's control API, and the duties of the fronts towards it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutySettings {
    /// Address of the control API. Without it, fronts have no duties.
    pub address: Option<SocketAddr>,
    /// Whether the control API refuses calls with an outdated fencing token.
    pub require_fence: bool,
    /// Time within which two holders of a duty must not act in turns.
    pub lease: Duration,
    /// Length of the windows for which usage is reported.
    pub usage_window: Duration,
    /// Time after the end of a window by which its report is due.
    pub usage_due: Duration,
    /// The duties that the deployment has.
    pub duties: Vec<FrontDuty>,
}

impl Default for DutySettings {
    fn default() -> Self {
        Self {
            address: None,
            require_fence: false,
            lease: Duration::from_secs(3),
            usage_window: Duration::from_secs(5),
            usage_due: Duration::from_secs(10),
            duties: Vec::new(),
        }
    }
}

impl Default for MachineSettings {
    fn default() -> Self {
        Self { memory_mib: 512, descriptors: 4_096 }
    }
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { ratio: 0.1, window: Duration::from_secs(10), slack: 10.0 }
    }
}

impl FrontSettings {
    /// The sections and keys that the settings file of a front may contain.
    pub const SECTIONS: &'static [SectionKeys] = &[
        SectionKeys { section: "front", named: false, keys: RawFront::KEYS },
        SectionKeys { section: "store", named: false, keys: RawStore::KEYS },
        SectionKeys { section: "endpoints", named: false, keys: RawEndpoints::KEYS },
        SectionKeys { section: "machine", named: false, keys: RawMachine::KEYS },
        SectionKeys { section: "retries", named: false, keys: RawRetries::KEYS },
        SectionKeys { section: "balance", named: false, keys: RawBalance::KEYS },
        SectionKeys { section: "duties", named: false, keys: RawDuties::KEYS },
        SectionKeys { section: "stop", named: false, keys: RawStop::KEYS },
        SectionKeys { section: "log", named: false, keys: RawLog::KEYS },
    ];

    const DEFAULT_MAX_SILENCE: Duration = Duration::from_secs(3);
    const DEFAULT_DRAIN_TIME: Duration = Duration::from_secs(2);
    const DEFAULT_STOP_WITHIN: Duration = Duration::from_secs(8);
    const RETRY_WINDOW: DurationRange =
        DurationRange { min: Duration::from_millis(100), max: Duration::from_secs(600) };
    const MAX_HEARTBEAT_DELAY: DurationRange =
        DurationRange { min: Duration::from_millis(10), max: Duration::from_secs(1) };
    const MAX_SILENCE: DurationRange =
        DurationRange { min: Duration::from_millis(1_500), max: Duration::from_secs(60) };
    const DRAIN_TIME: DurationRange =
        DurationRange { min: Duration::ZERO, max: Duration::from_secs(3_600) };
    const STOP_WITHIN: DurationRange =
        DurationRange { min: Duration::from_millis(500), max: Duration::from_secs(600) };
    const LEASE: DurationRange =
        DurationRange { min: Duration::from_millis(500), max: Duration::from_secs(600) };
    const USAGE: DurationRange =
        DurationRange { min: Duration::from_millis(500), max: Duration::from_secs(3_600) };
    const MEMORY_MIB: CountRange = CountRange { min: 16, max: 1_048_576 };
    const DESCRIPTORS: CountRange = CountRange { min: 64, max: 1_048_576 };

    /// Returns whether a text is the settings file of a front: only these have a section `[front]`.
    #[must_use]
    pub fn is_front(text: &str) -> bool {
        text.lines().any(|it| it.trim() == "[front]")
    }

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
        Document::check(file, text, Self::SECTIONS, |it| Self::try_from(it))
    }
}

impl TryFrom<&Document> for FrontSettings {
    type Error = Problems;

    fn try_from(document: &Document) -> Result<Self, Problems> {
        let front = RawFront::read(document.section("front"));
        let store = RawStore::read(document.section("store"));
        let endpoints = RawEndpoints::read(document.section("endpoints"));
        let balance = RawBalance::read(document.section("balance"));
        let stop = RawStop::read(document.section("stop"));
        let mut problems = Problems::default();
        let name = problems.record(front.name.required(&Name::new()));
        let region = problems.record(front.region.required(&Name::new()));
        let data_centre = problems.record(front.data_centre.required(&Name::new()));
        let callers = problems.record(front.callers.required(&Address));
        let ready = problems.record(front.ready.required(&Address));
        let inner = problems.record(front.inner.required(&Address));
        let snapshots = problems.record(front.snapshots.required(&Address));
        let metrics = problems.record(front.metrics.required(&Address));
        let seeds = problems.record(front.seeds.optional_or(Vec::new(), &Addresses));
        let max_silence =
            store.max_silence.optional_or(Self::DEFAULT_MAX_SILENCE, &Self::MAX_SILENCE);
        let max_silence = problems.record(max_silence);
        let store = problems.record(store.address.required(&Address));
        let drain_time =
            endpoints.drain_time.optional_or(Self::DEFAULT_DRAIN_TIME, &Self::DRAIN_TIME);
        let drain_time = problems.record(drain_time);
        let machine = problems.record(MachineSettings::try_from(document));
        let retries = problems.record(RetrySettings::try_from(document));
        let max_heartbeat_delay =
            problems.record(balance.max_heartbeat_delay.optional(&Self::MAX_HEARTBEAT_DELAY));
        let duties = problems.record(DutySettings::try_from(document));
        let stop_within =
            problems.record(stop.within.optional_or(Self::DEFAULT_STOP_WITHIN, &Self::STOP_WITHIN));
        let log = problems.record(LogSettings::try_from(&RawLog::read(document.section("log"))));
        let checked = (|| {
            Some(Self {
                name: name?,
                region: region?,
                data_centre: data_centre?,
                callers: callers?,
                ready: ready?,
                inner: inner?,
                snapshots: snapshots?,
                metrics: metrics?,
                seeds: seeds?,
                store: store?,
                max_silence: max_silence?,
                drain_time: drain_time?,
                machine: machine?,
                retries: retries?,
                max_heartbeat_delay: max_heartbeat_delay?,
                duties: duties?,
                stop_within: stop_within?,
                log: log?,
            })
        })();
        checked.ok_or(problems)
    }
}

impl TryFrom<&Document> for MachineSettings {
    type Error = Problems;

    fn try_from(document: &Document) -> Result<Self, Problems> {
        let raw = RawMachine::read(document.section("machine"));
        let mut problems = Problems::default();
        let mut checked = Self::default();
        // Without effect; older files contain it.
        problems.record(raw.processor_share.optional(&PositiveNumber));
        problems.set(&mut checked.memory_mib, raw.memory_mib.optional(&FrontSettings::MEMORY_MIB));
        let descriptors = raw.descriptors.optional(&FrontSettings::DESCRIPTORS);
        problems.set(&mut checked.descriptors, descriptors);
        problems.into_result(checked)
    }
}

impl TryFrom<&Document> for DutySettings {
    type Error = Problems;

    /// Takes empty values as absent, because the platform fills in nothing for fields that a deployment doesn't have.
    fn try_from(document: &Document) -> Result<Self, Problems> {
        let raw = RawDuties::read(document.section("duties"));
        let mut problems = Problems::default();
        let address = problems.record(raw.address.filled(&Address)).flatten();
        let mut checked = Self { address, ..Self::default() };
        problems.set(&mut checked.require_fence, raw.require_fence.filled(&Flag));
        problems.set(&mut checked.lease, raw.lease.filled(&FrontSettings::LEASE));
        problems.set(&mut checked.usage_window, raw.usage_window.filled(&FrontSettings::USAGE));
        problems.set(&mut checked.usage_due, raw.usage_due.filled(&FrontSettings::USAGE));
        problems.set(&mut checked.duties, raw.duties.filled(&AnyOf(FrontDuty::WORDS)));
        problems.into_result(checked)
    }
}

impl TryFrom<&Document> for RetrySettings {
    type Error = Problems;

    fn try_from(document: &Document) -> Result<Self, Problems> {
        let raw = RawRetries::read(document.section("retries"));
        let mut problems = Problems::default();
        let mut checked = Self::default();
        problems.set(&mut checked.ratio, raw.ratio.optional(&PositiveNumber));
        problems.set(&mut checked.window, raw.window.optional(&FrontSettings::RETRY_WINDOW));
        problems.set(&mut checked.slack, raw.slack.optional(&PositiveNumber));
        problems.into_result(checked)
    }
}
