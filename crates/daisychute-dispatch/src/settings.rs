//! What the deployment fixes for a dispatcher.

use std::time::Duration;

use daisychute_core::DataCentreName;

/// Bounds that the deployment sets, the same for all fronts.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchSettings {
    /// The data centre of this front; none where it isn't known.
    pub data_centre: Option<DataCentreName>,
    /// Sends beyond the first of each request, as a share of the requests of a service.
    pub retry_ratio: f64,
    /// The span over which retries are counted.
    pub retry_window: Duration,
    /// Retries that a service bears in a window regardless of its requests, over all fronts together.
    pub retry_slack: f64,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            data_centre: None,
            retry_ratio: 0.1,
            retry_window: Duration::from_secs(10),
            retry_slack: 10.0,
        }
    }
}
