//! News about prompt parts, as heartbeats carry them.

use std::time::Duration;

use daisychute_core::Time;
use daisychute_dispatch::{CrashNews, Quarantine, Suspect};
use serde::{Deserialize, Serialize};

/// News about prompt parts, by kind. Fields are written without their names, times as ages or remaining times.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PartReports(Vec<Ended>, Vec<Quarantined>, Vec<Sound>);

/// An engine that ended under a request: its id, the keys of the request's shared parts and whether the sender knows of
/// earlier complete responses to them, milliseconds since, and whether it had begun to respond.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Ended(u64, Vec<(u64, bool)>, u32, bool);

/// A quarantined part: its key, milliseconds since an engine ended under it, milliseconds left, and strikes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Quarantined(u64, u32, u32, u32);

/// A part of a completely answered request: its key, and milliseconds since.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Sound(u64, u32);

impl PartReports {
    /// Encodes news that are sent at `now`.
    pub(crate) fn new(now: Time, news: impl IntoIterator<Item = CrashNews>) -> Self {
        let age = |at: Time| millis(now.since(at));
        let mut reports = Self::default();
        for it in news {
            match it {
                CrashNews::EngineEnded { engine, parts, begun, at } => {
                    let parts = parts.iter().map(|it| (it.key, it.was_sound)).collect();
                    reports.0.push(Ended(engine, parts, age(at), begun))
                }
                CrashNews::Quarantined(Quarantine { part, since, until, strikes }) => {
                    let left = millis(until.since(now));
                    reports.1.push(Quarantined(part, age(since), left, strikes));
                }
                CrashNews::Sound { part, at } => reports.2.push(Sound(part, age(at))),
            }
        }
        reports
    }

    /// Decodes news that were received at `now`.
    pub(crate) fn into_news(self, now: Time) -> Vec<CrashNews> {
        let Self(ended, quarantined, sound) = self;
        let before = |ms: u32| now - Duration::from_millis(ms.into());
        let ended =
            ended.into_iter().map(|Ended(engine, parts, age, begun)| CrashNews::EngineEnded {
                begun,
                engine,
                parts: parts
                    .into_iter()
                    .map(|(key, was_sound)| Suspect { key, was_sound })
                    .collect(),
                at: before(age),
            });
        let quarantined =
            quarantined.into_iter().map(|Quarantined(part, age, left, strikes)| Quarantine {
                part,
                since: before(age),
                until: now + Duration::from_millis(left.into()),
                strikes,
            });
        let sound =
            sound.into_iter().map(|Sound(part, age)| CrashNews::Sound { part, at: before(age) });
        ended.chain(quarantined.map(CrashNews::Quarantined)).chain(sound).collect()
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
