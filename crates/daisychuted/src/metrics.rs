//! Metrics recorder of the process.

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

use crate::DaemonError;

/// Upper bounds of the histograms' buckets, in seconds.
const BUCKET_BOUNDS_SECONDS: [f64; 18] = [
    0.001, 0.002, 0.005, 0.010, 0.020, 0.030, 0.039, 0.050, 0.075, 0.100, 0.250, 0.500, 1.0, 1.7,
    2.5, 5.0, 10.0, 30.0,
];
/// Suffix of the names of all histograms.
const HISTOGRAM_SUFFIX: &str = "_seconds";

/// Installs the Prometheus recorder of the process.
pub(crate) fn install() -> Result<PrometheusHandle, DaemonError> {
    let suffix = Matcher::Suffix(HISTOGRAM_SUFFIX.to_owned());
    let handle = PrometheusBuilder::new()
        .set_buckets_for_metric(suffix, &BUCKET_BOUNDS_SECONDS)?
        .install_recorder()?;
    Ok(handle)
}
