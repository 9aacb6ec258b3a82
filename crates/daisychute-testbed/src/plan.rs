//! What a deployment consists of.

use std::time::Duration;

/// What a deployment consists of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    pub(crate) region: &'static str,
    pub(crate) data_centres: [&'static str; 4],
    pub(crate) model: &'static str,
    pub(crate) service: &'static str,
    pub(crate) engines: usize,
    pub(crate) services: usize,
    pub(crate) entries: usize,
    pub(crate) engine_args: Vec<String>,
    pub(crate) service_args: Vec<String>,
    pub(crate) daemon_sections: String,
    pub(crate) log_level: &'static str,
    pub(crate) ready: Duration,
    pub(crate) shared_standins: bool,
}

impl Plan {
    const READY: Duration = Duration::from_secs(20);

    /// The deployment in Rabat-Salé, with one engine, one service worker and one entry.
    #[must_use]
    pub const fn rabat_sale() -> Self {
        Self::new("morocco", ["agdal", "hassan", "tabriquet", "hay-riad"], "clerk-lm", "sign-feed")
    }

    /// The deployment in Budapest, with one engine, one service worker and one entry.
    #[must_use]
    pub const fn budapest() -> Self {
        Self::new("hungary", ["bud-a", "bud-b", "gyor-a", "kecs-a"], "recon-llm", "ledger-api")
    }

    const fn new(
        region: &'static str,
        data_centres: [&'static str; 4],
        model: &'static str,
        service: &'static str,
    ) -> Self {
        Self {
            region,
            data_centres,
            model,
            service,
            engines: 1,
            services: 1,
            entries: 1,
            engine_args: Vec::new(),
            service_args: Vec::new(),
            daemon_sections: String::new(),
            log_level: "info",
            ready: Self::READY,
            shared_standins: false,
        }
    }

    /// The same with so many engines.
    #[must_use]
    pub const fn engines(mut self, count: usize) -> Self {
        self.engines = count;
        self
    }

    /// The same with so many service workers.
    #[must_use]
    pub const fn services(mut self, count: usize) -> Self {
        self.services = count;
        self
    }

    /// The same with so many entries.
    #[must_use]
    pub const fn entries(mut self, count: usize) -> Self {
        self.entries = count;
        self
    }

    /// The same with one stand-in for all engines and one for all service workers, for many daemons in little memory.
    #[must_use]
    pub const fn shared_standins(mut self) -> Self {
        self.shared_standins = true;
        self
    }

    /// The same with one more argument for each engine stand-in.
    #[must_use]
    pub fn engine_arg(mut self, arg: impl Into<String>) -> Self {
        self.engine_args.push(arg.into());
        self
    }

    /// The same with one more argument for each service stand-in.
    #[must_use]
    pub fn service_arg(mut self, arg: impl Into<String>) -> Self {
        self.service_args.push(arg.into());
        self
    }

    /// The same with further sections in the settings of each daemon.
    #[must_use]
    pub fn daemon_sections(mut self, ini: impl Into<String>) -> Self {
        self.daemon_sections = ini.into();
        self
    }

    /// The same with another log level.
    #[must_use]
    pub const fn log_level(mut self, level: &'static str) -> Self {
        self.log_level = level;
        self
    }

    /// The data centre of the instance with this index.
    pub(crate) fn data_centre(&self, index: usize) -> &'static str {
        self.data_centres[index % self.data_centres.len()]
    }
}
