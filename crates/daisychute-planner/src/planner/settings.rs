//! Settings of the planner.

use std::time::Duration;

/// Limits and timing of the planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannerSettings {
    /// Maximum number of engines of the region that load weights at the same time.
    pub max_weight_loads: usize,
    /// Time after acquiring the lease during which a planned engine that was not yet reported counts as loading.
    pub observe_grace: Duration,
    /// Upper bound of the first random delay after a failed call to the platform's object store.
    pub first_retry: Duration,
    /// Maximum to which that bound grows.
    pub longest_retry: Duration,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            max_weight_loads: 4,
            observe_grace: Duration::from_secs(15),
            first_retry: Duration::from_millis(100),
            longest_retry: Duration::from_secs(5),
        }
    }
}
