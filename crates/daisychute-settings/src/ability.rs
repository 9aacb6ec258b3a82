//! Whether the endpoints that are there can meet the targets of a configuration.

use std::time::Duration;

use daisychute_core::{ClassName, Configuration};
use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// What one endpoint can do at best. A part that is not known refuses nothing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Ability {
    /// The time to the first token of a short prompt, or to the whole answer of a plain service.
    #[serde(default)]
    pub first_token: Option<Duration>,
    /// The time between two tokens of a single stream.
    #[serde(default)]
    pub between_tokens: Option<Duration>,
    /// Output tokens a second at the best batch.
    #[serde(default)]
    pub throughput: Option<f64>,
}

/// A target that no endpoint can meet.
#[derive(Debug, Clone, PartialEq, Error, Diagnostic)]
pub enum UnmeetableTarget {
    /// No endpoint starts an answer so soon.
    #[error("class {class}: first-token = {}, and no endpoint starts an answer in less than {}",
        humantime::format_duration(*target), humantime::format_duration(*best))]
    #[diagnostic(help("give first-token = {} or more", humantime::format_duration(*best)))]
    FirstToken {
        /// The class.
        class: ClassName,
        /// Its target.
        target: Duration,
        /// What the fastest endpoint can do.
        best: Duration,
    },
    /// No endpoint makes tokens so fast.
    #[error("class {class}: between-tokens = {}, and no endpoint makes a token in less than {}",
        humantime::format_duration(*target), humantime::format_duration(*best))]
    #[diagnostic(help("give between-tokens = {} or more", humantime::format_duration(*best)))]
    BetweenTokens {
        /// The class.
        class: ClassName,
        /// Its target.
        target: Duration,
        /// What the fastest endpoint can do.
        best: Duration,
    },
    /// No endpoint ends an answer so soon.
    #[error("class {class}: deadline = {}, and no endpoint starts an answer in less than {}",
        humantime::format_duration(*target), humantime::format_duration(*best))]
    #[diagnostic(help("give deadline = {} or more", humantime::format_duration(*best)))]
    Deadline {
        /// The class.
        class: ClassName,
        /// Its target.
        target: Duration,
        /// What the fastest endpoint can do.
        best: Duration,
    },
    /// All endpoints together don't make so many tokens.
    #[error(
        "the throughputs of all classes add up to {target} tokens/s, and all endpoints together make {best}"
    )]
    #[diagnostic(help("give less throughput; at most {best} tokens/s over all classes"))]
    Throughput {
        /// The sum of the targets, in tokens a second.
        target: f64,
        /// What all endpoints can do, in tokens a second.
        best: f64,
    },
}

/// The targets that the endpoints can't meet, each with the reason.
///
/// Nothing is refused for a part that some endpoint does not tell of.
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
    endpoints: &[Ability],
) -> Vec<UnmeetableTarget> {
    let mut found = Vec::new();
    if let Some(best) = fastest(endpoints, |it| it.first_token) {
        found.extend(late_starts(configuration, best));
    }
    if let Some(best) = fastest(endpoints, |it| it.between_tokens) {
        found.extend(slow_streams(configuration, best));
    }
    found.extend(too_much(configuration, endpoints));
    found
}

/// The least of the times, where every endpoint tells its own.
fn fastest(endpoints: &[Ability], time: impl Fn(&Ability) -> Option<Duration>) -> Option<Duration> {
    let times: Option<Vec<Duration>> = endpoints.iter().map(time).collect();
    times?.into_iter().min()
}

fn late_starts(configuration: &Configuration, best: Duration) -> Vec<UnmeetableTarget> {
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

fn slow_streams(configuration: &Configuration, best: Duration) -> Vec<UnmeetableTarget> {
    let mut found = Vec::new();
    for class in configuration.classes.values() {
        if let Some(target) = class.targets.between_tokens.filter(|it| *it < best) {
            let class = class.name.clone();
            found.push(UnmeetableTarget::BetweenTokens { class, target, best });
        }
    }
    found
}

fn too_much(configuration: &Configuration, endpoints: &[Ability]) -> Option<UnmeetableTarget> {
    let rates: Option<Vec<f64>> = endpoints.iter().map(|it| it.throughput).collect();
    let best: f64 = rates.filter(|it| !it.is_empty())?.iter().sum();
    let target: f64 = configuration.classes.values().filter_map(|it| it.targets.throughput).sum();
    (target > best).then_some(UnmeetableTarget::Throughput { target, best })
}
