//! The settings of a front.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use daisychute_core::{DataCentreName, ProcessName, RegionName};

use crate::document::Document;
use crate::field::raw_section;
use crate::log::RawLog;
use crate::problem::Problems;
use crate::rule::{Address, Addresses, Count, Name, Rate, Span};
use crate::{LogSettings, SectionKeys, SettingsError, file};

raw_section! {
    /// Section `[front]` as it stands in the file.
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
    /// Section `[store]` as it stands in the file.
    RawStore {
        address = "address",
    }
}

raw_section! {
    /// Section `[machine]` as it stands in the file.
    RawMachine {
        processor_share = "processor-share",
        memory_mib = "memory-mib",
        descriptors = "descriptors",
    }
}

raw_section! {
    /// Section `[retries]` as it stands in the file.
    RawRetries {
        ratio = "ratio",
        window = "window",
        slack = "slack",
    }
}

raw_section! {
    /// Section `[stop]` as it stands in the file.
    RawStop {
        within = "within",
    }
}

/// The settings of a front, checked as a whole.
#[derive(Debug, Clone, PartialEq)]
pub struct FrontSettings {
    /// Its name, unique among the fronts.
    pub name: ProcessName,
    /// The region that it runs in.
    pub region: RegionName,
    /// The data centre that it runs in.
    pub data_centre: DataCentreName,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub ready: SocketAddr,
    /// Where other fronts send what they have under way.
    pub inner: SocketAddr,
    /// Where other fronts fetch what is known here.
    pub snapshots: SocketAddr,
    /// Where metrics are fetched.
    pub metrics: SocketAddr,
    /// Fronts that may tell what is known when the store can't be reached.
    pub seeds: Vec<SocketAddr>,
    /// The store of configuration and endpoints.
    pub store: SocketAddr,
    /// What the machine gives.
    pub machine: MachineSettings,
    /// The budget of retries, over all fronts together.
    pub retries: RetrySettings,
    /// How long a graceful stop may take.
    pub stop_within: Duration,
    /// What is logged and how.
    pub log: LogSettings,
}

/// What a machine gives to one process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MachineSettings {
    /// The share of a processor.
    pub processor_share: f64,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Open descriptors.
    pub descriptors: u32,
}

/// The budget of sends beyond the first of each request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// Extra sends as a share of the requests of a service.
    pub ratio: f64,
    /// The span over which they are counted.
    pub window: Duration,
    /// Extra sends that a service bears in a window in any case.
    pub slack: f64,
}

impl Default for MachineSettings {
    fn default() -> Self {
        Self { processor_share: 1.0, memory_mib: 512, descriptors: 4_096 }
    }
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { ratio: 0.1, window: Duration::from_secs(10), slack: 10.0 }
    }
}

impl FrontSettings {
    /// The sections and keys that a settings file of a front may hold.
    pub const SECTIONS: &'static [SectionKeys] = &[
        SectionKeys { section: "front", named: false, keys: RawFront::KEYS },
        SectionKeys { section: "store", named: false, keys: RawStore::KEYS },
        SectionKeys { section: "machine", named: false, keys: RawMachine::KEYS },
        SectionKeys { section: "retries", named: false, keys: RawRetries::KEYS },
        SectionKeys { section: "stop", named: false, keys: RawStop::KEYS },
        SectionKeys { section: "log", named: false, keys: RawLog::KEYS },
    ];

    const DEFAULT_STOP: Duration = Duration::from_secs(8);
    const WINDOW: Span = Span { min: Duration::from_millis(100), max: Duration::from_secs(600) };
    const STOP: Span = Span { min: Duration::from_millis(500), max: Duration::from_secs(600) };
    const MEMORY: Count = Count { min: 16, max: 1_048_576 };
    const DESCRIPTORS: Count = Count { min: 64, max: 1_048_576 };

    /// Whether a settings file is that of a front: only these have a section `[front]`.
    #[must_use]
    pub fn is_front(text: &str) -> bool {
        text.lines().any(|it| it.trim() == "[front]")
    }

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
        Document::check(file, text, Self::SECTIONS, |it| Self::try_from(it))
    }
}

impl TryFrom<&Document> for FrontSettings {
    type Error = Problems;

    fn try_from(document: &Document) -> Result<Self, Problems> {
        let front = RawFront::read(document.section("front"));
        let store = RawStore::read(document.section("store"));
        let stop = RawStop::read(document.section("stop"));
        let mut problems = Problems::default();
        let name = problems.keep(front.name.required(&Name::new()));
        let region = problems.keep(front.region.required(&Name::new()));
        let data_centre = problems.keep(front.data_centre.required(&Name::new()));
        let callers = problems.keep(front.callers.required(&Address));
        let ready = problems.keep(front.ready.required(&Address));
        let inner = problems.keep(front.inner.required(&Address));
        let snapshots = problems.keep(front.snapshots.required(&Address));
        let metrics = problems.keep(front.metrics.required(&Address));
        let seeds = problems.keep(front.seeds.or(Vec::new(), &Addresses));
        let store = problems.keep(store.address.required(&Address));
        let machine = problems.keep(MachineSettings::try_from(document));
        let retries = problems.keep(RetrySettings::try_from(document));
        let stop_within = problems.keep(stop.within.or(Self::DEFAULT_STOP, &Self::STOP));
        let log = problems.keep(LogSettings::try_from(&RawLog::read(document.section("log"))));
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
                machine: machine?,
                retries: retries?,
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
        problems.set(&mut checked.processor_share, raw.processor_share.optional(&Rate));
        problems.set(&mut checked.memory_mib, raw.memory_mib.optional(&FrontSettings::MEMORY));
        let descriptors = raw.descriptors.optional(&FrontSettings::DESCRIPTORS);
        problems.set(&mut checked.descriptors, descriptors);
        problems.none_or(checked)
    }
}

impl TryFrom<&Document> for RetrySettings {
    type Error = Problems;

    fn try_from(document: &Document) -> Result<Self, Problems> {
        let raw = RawRetries::read(document.section("retries"));
        let mut problems = Problems::default();
        let mut checked = Self::default();
        problems.set(&mut checked.ratio, raw.ratio.optional(&Rate));
        problems.set(&mut checked.window, raw.window.optional(&FrontSettings::WINDOW));
        problems.set(&mut checked.slack, raw.slack.optional(&Rate));
        problems.none_or(checked)
    }
}
