//! Settings of the planner.

use std::time::Duration;

/// Bounds and spans of the planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannerSettings {
    /// How many engines of the region may load weights at once.
    pub max_weight_loads: usize,
    /// How long after it acquires the lease a planner counts a planned engine that it hasn't heard of as loading.
    pub observe_grace: Duration,
    /// The first bound of the delay after a failure of the platform.
    pub first_retry: Duration,
    /// The last bound of that delay.
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
