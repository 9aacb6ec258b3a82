//! The specification of a deployment: its region, processes and settings.

use std::time::Duration;

/// The region, processes and settings of a deployment to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeploymentSpec {
    pub(crate) region: &'static str,
    /// The data centres of the region; instances are assigned to them round robin.
    pub(crate) data_centres: [&'static str; 4],
    pub(crate) model: &'static str,
    pub(crate) service: &'static str,
    /// Number of engines, each with an agent.
    pub(crate) engines: usize,
    /// Number of service workers, each with an agent.
    pub(crate) services: usize,
    /// Number of entries.
    pub(crate) entries: usize,
    /// Further command-line arguments of each engine stand-in.
    pub(crate) engine_args: Vec<String>,
    /// Further command-line arguments of each service stand-in.
    pub(crate) service_args: Vec<String>,
    /// Further INI sections in the settings of each daemon.
    pub(crate) daemon_sections: String,
    pub(crate) log_level: &'static str,
    /// How long each entry may take to become ready and see every endpoint.
    pub(crate) ready_timeout: Duration,
    /// Whether all endpoints of the same kind share one stand-in process.
    pub(crate) shared_standins: bool,
}

impl DeploymentSpec {
    const READY_TIMEOUT: Duration = Duration::from_secs(20);

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
            ready_timeout: Self::READY_TIMEOUT,
            shared_standins: false,
        }
    }

    /// Sets the number of engines.
    #[must_use]
    pub const fn engines(mut self, count: usize) -> Self {
        self.engines = count;
        self
    }

    /// Sets the number of service workers.
    #[must_use]
    pub const fn services(mut self, count: usize) -> Self {
        self.services = count;
        self
    }

    /// Sets the number of entries.
    #[must_use]
    pub const fn entries(mut self, count: usize) -> Self {
        self.entries = count;
        self
    }

    /// Uses one stand-in for all engines and one for all service workers, so that many daemons fit into little memory.
    #[must_use]
    pub const fn shared_standins(mut self) -> Self {
        self.shared_standins = true;
        self
    }

    /// Adds a command-line argument of each engine stand-in.
    #[must_use]
    pub fn engine_arg(mut self, arg: impl Into<String>) -> Self {
        self.engine_args.push(arg.into());
        self
    }

    /// Adds a command-line argument of each service stand-in.
    #[must_use]
    pub fn service_arg(mut self, arg: impl Into<String>) -> Self {
        self.service_args.push(arg.into());
        self
    }

    /// Sets further INI sections in the settings of each daemon.
    #[must_use]
    pub fn daemon_sections(mut self, ini: impl Into<String>) -> Self {
        self.daemon_sections = ini.into();
        self
    }

    /// Sets the log level of the daemons; the default is `info`.
    #[must_use]
    pub const fn log_level(mut self, level: &'static str) -> Self {
        self.log_level = level;
        self
    }

    /// The data centre of the instance with this index among the entries, engines or service workers.
    pub(crate) fn data_centre(&self, index: usize) -> &'static str {
        self.data_centres[index % self.data_centres.len()]
    }
}
