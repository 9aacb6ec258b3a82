//! Settings of the control shell.

use std::time::Duration;

use daisychute_core::{
    DataCentreName, DeploymentName, Incarnation, ProcessName, ProcessRole, RegionName,
};
use daisychute_store::{LeaseSettings, ReplicaSettings};

use crate::PlannerSettings;

/// Who a process is and how it takes part in control.
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
    /// How many entries of a data centre watch the platform.
    pub const WATCHERS: usize = 3;
    /// How often a process writes its status, on average a quarter less.
    pub const STATUS_INTERVAL: Duration = Duration::from_secs(30);
    /// How often the planner reads what operators want drained.
    pub const DRAINS_INTERVAL: Duration = Duration::from_secs(2);

    /// The defaults for an entry.
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

    /// The same for an agent, which keeps replicas but neither watches nor plans.
    #[must_use]
    pub fn agent(mut self) -> Self {
        self.role = ProcessRole::Agent;
        self
    }

    /// The same with these spans of the lease.
    #[must_use]
    pub fn lease(mut self, lease: LeaseSettings) -> Self {
        self.lease = lease;
        self
    }

    /// The same with these spans of the replicas.
    #[must_use]
    pub fn replica(mut self, replica: ReplicaSettings) -> Self {
        self.replica = replica;
        self
    }

    /// The same with these bounds of the planner.
    #[must_use]
    pub fn planner(mut self, planner: PlannerSettings) -> Self {
        self.planner = planner;
        self
    }

    /// The same with status written this often.
    #[must_use]
    pub fn status_interval(mut self, interval: Duration) -> Self {
        self.status_interval = interval;
        self
    }
}
