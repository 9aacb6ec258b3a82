//! The role planner.

use daisychute_core::{DataCentreName, EndpointName, ModelName, Preference, Role, Time};

use super::demand::DemandTable;

/// What the planner knows of one engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineView {
    /// Its name.
    pub endpoint: EndpointName,
    /// Where it is.
    pub data_centre: DataCentreName,
    /// The model that it serves.
    pub model: ModelName,
    /// Its role, or the role that it is changing to.
    pub role: Role,
    /// Whether a change is in progress or planned.
    pub changing: bool,
    /// Whether it takes work.
    pub live: bool,
    /// Requests that it has.
    pub running: u32,
    /// Engine-seconds that computing its cached prefixes again would take.
    pub cache_seconds: f64,
}

/// The engines of one region.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Fleet {
    /// The engines.
    pub engines: Vec<EngineView>,
}

/// One engine changes its role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleChange {
    /// The engine.
    pub endpoint: EndpointName,
    /// Its role afterwards.
    pub role: Role,
}

/// Plans role changes.
#[derive(Debug, Clone)]
pub struct RolePlanner {
    preference: Preference,
}

impl RolePlanner {
    /// A planner that knows no demand yet.
    #[must_use]
    pub fn new(preference: Preference) -> Self {
        Self { preference }
    }

    /// What the deployment weighs more.
    #[must_use]
    pub fn preference(&self) -> Preference {
        self.preference
    }

    /// The changes to start now. None where the picture is old or partial.
    pub fn plan(&mut self, _now: Time, _fleet: &Fleet, _demand: &DemandTable) -> Vec<RoleChange> {
        Vec::new()
    }
}
