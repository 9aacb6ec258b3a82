//! Settings of the I/O shell.

use std::time::Duration;

use daisychute_core::{
    DataCentreName, DeploymentName, Incarnation, ProcessName, ProcessRole, RegionName,
};
use daisychute_store::{LeaseSettings, ReplicaSettings};

use crate::PlannerSettings;

/// Identity of a process and the settings of its I/O shell.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    pub(crate) deployment: DeploymentName,
    pub(crate) region: RegionName,
    pub(crate) data_centre: DataCentreName,
    pub(crate) process: ProcessName,
    pub(crate) incarnation: Incarnation,
    pub(crate) role: ProcessRole,
    pub(crate) watchers: usize,
    pub(crate) status_interval: Duration,
    pub(crate) drains_interval: Duration,
    pub(crate) lease: LeaseSettings,
    pub(crate) replica: ReplicaSettings,
    pub(crate) planner: PlannerSettings,
}

impl ControlSettings {
    /// Number of entries of a data centre that watch the platform's object store.
    pub const WATCHERS: usize = 3;
    /// Maximum time between two writes of the status. Jitter makes the average interval a quarter shorter.
    pub const STATUS_INTERVAL: Duration = Duration::from_secs(30);
    /// Maximum time between two reads of the endpoints that operators want drained, with the same jitter.
    pub const DRAINS_INTERVAL: Duration = Duration::from_secs(2);

    /// Creates the default settings of an entry.
    #[must_use]
    pub fn entry(
        deployment: DeploymentName,
        region: RegionName,
        data_centre: DataCentreName,
        process: ProcessName,
        incarnation: Incarnation,
    ) -> Self {
        Self {
            deployment,
            region,
            data_centre,
            process,
            incarnation,
            role: ProcessRole::Entry,
            watchers: Self::WATCHERS,
            status_interval: Self::STATUS_INTERVAL,
            drains_interval: Self::DRAINS_INTERVAL,
            lease: LeaseSettings::default(),
            replica: ReplicaSettings::default(),
            planner: PlannerSettings::default(),
        }
    }

    /// Makes these the settings of an agent, which replicates documents but neither watches nor plans.
    #[must_use]
    pub fn agent(mut self) -> Self {
        self.role = ProcessRole::Agent;
        self
    }

    /// Sets the timing of the lease.
    #[must_use]
    pub fn lease(mut self, lease: LeaseSettings) -> Self {
        self.lease = lease;
        self
    }

    /// Sets the timing of the replicas.
    #[must_use]
    pub fn replica(mut self, replica: ReplicaSettings) -> Self {
        self.replica = replica;
        self
    }

    /// Sets the limits and timing of the planner.
    #[must_use]
    pub fn planner(mut self, planner: PlannerSettings) -> Self {
        self.planner = planner;
        self
    }

    /// Sets the maximum time between two writes of the status. An entry lists the statuses at the same interval.
    #[must_use]
    pub fn status_interval(mut self, interval: Duration) -> Self {
        self.status_interval = interval;
        self
    }
}
