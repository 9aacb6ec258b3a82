//! Settings of a dispatcher that come from the deployment.

use std::time::Duration;

use daisychute_core::DataCentreName;

use crate::Dispatcher;

/// Settings of a dispatcher. The retry settings are the same in all fronts, which share one retry budget per service.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchSettings {
    /// Data centre of this front; `None` if it isn't known.
    pub data_centre: Option<DataCentreName>,
    /// Retries allowed per request of a service, as a ratio: 0.1 allows one retry for every ten requests.
    pub retry_ratio: f64,
    /// Length of the sliding window in which requests and retries are counted.
    pub retry_window: Duration,
    /// Retries allowed per service and window in addition to the ratio, for all fronts together.
    pub retry_slack: f64,
    /// Maximum time that heartbeats are assumed to take, when requests are spread over engines by the work that other
    /// fronts have probably sent since; `None` if requests are sent to the engine of the lowest known cost.
    pub max_heartbeat_delay: Option<Duration>,
    /// Time for which endpoints serve after the directory has accepted that they drain.
    pub drain_time: Duration,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            data_centre: None,
            retry_ratio: 0.1,
            retry_window: Duration::from_secs(10),
            retry_slack: 10.0,
            max_heartbeat_delay: None,
            drain_time: Duration::from_secs(2),
        }
    }
}

impl Dispatcher {
    /// Replaces the settings. What the retry budgets have counted so far still counts.
    pub fn apply_settings(&mut self, settings: DispatchSettings) {
        let DispatchSettings { retry_ratio, retry_slack, retry_window, .. } = settings;
        for budget in self.budgets.values_mut() {
            budget.configure(retry_ratio, retry_slack, retry_window);
        }
        self.settings = settings;
    }
}
