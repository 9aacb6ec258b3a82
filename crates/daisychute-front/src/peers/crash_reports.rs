//! News about endpoints that end, as heartbeats carry them.

use std::time::Duration;

use daisychute_core::Time;
use daisychute_dispatch::{Cause, CrashNews, Fingerprint, Quarantine, Suspect};
use serde::{Deserialize, Serialize};

/// News about prompt parts or about requests, by kind. Causes are the keys of parts or the fingerprints of requests. Fields
/// are written without their names, times as ages or remaining times.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CrashReports(Vec<Ended>, Vec<Quarantined>, Vec<Sound>);

/// An endpoint that ended under a request: its id, the causes with whether the sender knows of earlier complete responses,
/// milliseconds since, and whether it had begun to respond.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Ended(u64, Vec<(u64, bool)>, u32, bool);

/// A quarantine: its cause, milliseconds since an endpoint ended under it, milliseconds left, and strikes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Quarantined(u64, u32, u32, u32);

/// A cause of which a request was answered completely, and milliseconds since.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Sound(u64, u32);

impl CrashReports {
    /// Encodes news that are sent at `now`.
    pub(crate) fn new(now: Time, news: impl IntoIterator<Item = CrashNews>) -> Self {
        let age = |at: Time| millis(now.since(at));
        let mut reports = Self::default();
        for it in news {
            match it {
                CrashNews::EndpointEnded { endpoint, suspects, begun, at } => {
                    let causes = suspects.iter().map(|it| (number(it.cause), it.was_sound));
                    reports.0.push(Ended(endpoint, causes.collect(), age(at), begun));
                }
                CrashNews::Quarantined(Quarantine { cause, since, until, strikes }) => {
                    let left = millis(until.since(now));
                    reports.1.push(Quarantined(number(cause), age(since), left, strikes));
                }
                CrashNews::Sound { cause, at } => reports.2.push(Sound(number(cause), age(at))),
            }
        }
        reports
    }

    /// Joins the requests that each endpoint had, which are at most as many as pieces of news are in a heartbeat.
    pub(crate) fn join_requests(mut self) -> Self {
        let mut joined: Vec<Ended> = Vec::new();
        for ended in self.0 {
            match joined.iter_mut().find(|it| (it.0, it.3) == (ended.0, ended.3)) {
                Some(it) => it.1.extend(ended.1),
                None => joined.push(ended),
            }
        }
        self.0 = joined;
        self
    }

    /// Decodes news about prompt parts that were received at `now`.
    pub(crate) fn into_part_news(self, now: Time) -> impl Iterator<Item = CrashNews> {
        self.into_news(now, Cause::Part)
    }

    /// Decodes news about requests that were received at `now`.
    pub(crate) fn into_request_news(self, now: Time) -> impl Iterator<Item = CrashNews> {
        self.into_news(now, |number| Cause::Request(Fingerprint::new(number)))
    }

    fn into_news(self, now: Time, cause: fn(u64) -> Cause) -> impl Iterator<Item = CrashNews> {
        let Self(ended, quarantined, sound) = self;
        let before = move |ms: u32| now - Duration::from_millis(ms.into());
        let suspect = move |(number, was_sound)| Suspect { cause: cause(number), was_sound };
        let ended = ended.into_iter().map(move |Ended(endpoint, causes, age, begun)| {
            let suspects = causes.into_iter().map(suspect).collect();
            CrashNews::EndpointEnded { endpoint, suspects, begun, at: before(age) }
        });
        let quarantined =
            quarantined.into_iter().map(move |Quarantined(number, age, left, strikes)| {
                let until = now + Duration::from_millis(left.into());
                let since = before(age);
                CrashNews::Quarantined(Quarantine { cause: cause(number), since, until, strikes })
            });
        let sound = sound.into_iter().map(move |Sound(number, age)| CrashNews::Sound {
            cause: cause(number),
            at: before(age),
        });
        ended.chain(quarantined).chain(sound)
    }
}

/// Returns the key of a part, or the fingerprint of a request.
const fn number(cause: Cause) -> u64 {
    match cause {
        Cause::Part(key) => key,
        Cause::Request(fingerprint) => fingerprint.number(),
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
