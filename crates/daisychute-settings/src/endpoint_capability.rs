//! Checks whether the registered endpoints can meet the targets of a configuration.

use std::time::Duration;

use daisychute_core::{ClassName, Configuration};
use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Best performance of one endpoint. Targets aren't checked against values that are unknown (`None`).
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointCapability {
    /// Minimum time to first token for a short prompt, or to the complete response of a plain service.
    #[serde(default)]
    pub first_token: Option<Duration>,
    /// Minimum inter-token latency of a single stream.
    #[serde(default)]
    pub between_tokens: Option<Duration>,
    /// Maximum output tokens per second, at the best batch size.
    #[serde(default)]
    pub throughput: Option<f64>,
}

/// A target that the endpoints can't meet.
#[derive(Debug, Clone, PartialEq, Error, Diagnostic)]
pub enum UnmeetableTarget {
    /// No endpoint can reach the time to first token.
    #[error("class {class}: first-token = {}, and no endpoint starts a response in less than {}",
        humantime::format_duration(*target), humantime::format_duration(*best))]
    #[diagnostic(help("set first-token = {} or more", humantime::format_duration(*best)))]
    FirstToken {
        /// Class that has the target.
        class: ClassName,
        /// Target of the class.
        target: Duration,
        /// Best value of any endpoint.
        best: Duration,
    },
    /// No endpoint can reach the inter-token latency.
    #[error("class {class}: between-tokens = {}, and no endpoint generates a token in less than {}",
        humantime::format_duration(*target), humantime::format_duration(*best))]
    #[diagnostic(help("set between-tokens = {} or more", humantime::format_duration(*best)))]
    BetweenTokens {
        /// Class that has the target.
        class: ClassName,
        /// Target of the class.
        target: Duration,
        /// Best value of any endpoint.
        best: Duration,
    },
    /// The deadline is shorter than the minimum time to first token of any endpoint.
    #[error("class {class}: deadline = {}, and no endpoint starts a response in less than {}",
        humantime::format_duration(*target), humantime::format_duration(*best))]
    #[diagnostic(help("set deadline = {} or more", humantime::format_duration(*best)))]
    Deadline {
        /// Class that has the target.
        class: ClassName,
        /// Target of the class.
        target: Duration,
        /// Best value of any endpoint.
        best: Duration,
    },
    /// The classes together need more output tokens per second than all endpoints can generate.
    #[error(
        "the throughputs of all classes add up to {target} tokens/s, but all endpoints together generate only {best}"
    )]
    #[diagnostic(help("reduce throughput to at most {best} tokens/s over all classes"))]
    Throughput {
        /// Sum of the throughput targets of all classes, in tokens per second.
        target: f64,
        /// Sum of the maximum throughputs of all endpoints, in tokens per second.
        best: f64,
    },
}

/// Returns the targets that the endpoints can't meet.
///
/// A kind of target is checked only if all endpoints report the corresponding value.
///
/// ```
/// use daisychute_core::Configuration;
/// use daisychute_settings::unmeetable_targets;
///
/// assert!(unmeetable_targets(&Configuration::default(), &[]).is_empty());
/// ```
#[must_use]
pub fn unmeetable_targets(
    configuration: &Configuration,
    endpoints: &[EndpointCapability],
) -> Vec<UnmeetableTarget> {
    let mut found = Vec::new();
    if let Some(best) = fastest(endpoints, |it| it.first_token) {
        found.extend(unmeetable_start_times(configuration, best));
    }
    if let Some(best) = fastest(endpoints, |it| it.between_tokens) {
        found.extend(unmeetable_token_rates(configuration, best));
    }
    found.extend(unmeetable_throughput(configuration, endpoints));
    found
}

/// Returns the shortest of the times, or `None` if an endpoint doesn't report it or there are no endpoints.
fn fastest(
    endpoints: &[EndpointCapability],
    time: impl Fn(&EndpointCapability) -> Option<Duration>,
) -> Option<Duration> {
    let times: Option<Vec<Duration>> = endpoints.iter().map(time).collect();
    times?.into_iter().min()
}

fn unmeetable_start_times(configuration: &Configuration, best: Duration) -> Vec<UnmeetableTarget> {
    let mut found = Vec::new();
    for class in configuration.classes.values() {
        if let Some(target) = class.targets.first_token.filter(|it| *it < best) {
            let class = class.name.clone();
            found.push(UnmeetableTarget::FirstToken { class, target, best });
        }
        if let Some(target) = class.targets.deadline.filter(|it| *it < best) {
            let class = class.name.clone();
            found.push(UnmeetableTarget::Deadline { class, target, best });
        }
    }
    found
}

fn unmeetable_token_rates(configuration: &Configuration, best: Duration) -> Vec<UnmeetableTarget> {
    let mut found = Vec::new();
    for class in configuration.classes.values() {
        if let Some(target) = class.targets.between_tokens.filter(|it| *it < best) {
            let class = class.name.clone();
            found.push(UnmeetableTarget::BetweenTokens { class, target, best });
        }
    }
    found
}

fn unmeetable_throughput(
    configuration: &Configuration,
    endpoints: &[EndpointCapability],
) -> Option<UnmeetableTarget> {
    let rates: Option<Vec<f64>> = endpoints.iter().map(|it| it.throughput).collect();
    let best: f64 = rates.filter(|it| !it.is_empty())?.iter().sum();
    let target: f64 = configuration.classes.values().filter_map(|it| it.targets.throughput).sum();
    (target > best).then_some(UnmeetableTarget::Throughput { target, best })
}
