//! Endpoints that left before the directory was restored.

use std::collections::BTreeMap;
use std::time::Duration;

use daisychute_core::{EndpointName, Time};
use daisychute_dispatch::Endpoint;

use crate::Admission;

/// How an endpoint left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Draining,
    Gone,
}

/// An incarnation of an endpoint that left.
#[derive(Debug, Clone)]
struct Departure {
    endpoint: Endpoint,
    kind: Kind,
    // When it left; in the future while its record may still come back.
    at: Time,
    // The era in which the directory said so.
    era: u64,
}

/// The endpoints that drained or left lately, as the directory has told.
///
/// A directory that is restored from a copy may list endpoints that left since the copy as ready. What it told before
/// stays valid: an incarnation that left in an earlier era isn't used again until [`Self::HOLD_TIME`] after the return.
/// Another incarnation under the same name is used at once, unless it started earlier than the one in use, and so is one
/// that left and came back in the same era.
///
/// An endpoint that didn't leave after all is used again if the directory lists it as ready after that time: by then the
/// directory has dropped the records that no endpoint renews, and those that drain have said so again.
#[derive(Debug, Clone, Default)]
pub struct Departures {
    by_name: BTreeMap<EndpointName, Vec<Departure>>,
    // When endpoints that left in an earlier era may be used again. `None` if the directory wasn't restored lately.
    held_until: Option<Time>,
}

impl Departures {
    /// How long after a return of the directory an endpoint that left before it isn't used, longer than the directory
    /// keeps a record that isn't renewed.
    pub const HOLD_TIME: Duration = Duration::from_secs(15);
    /// How long a departure is remembered; copies of the directory are seconds old.
    const MEMORY: Duration = Duration::from_secs(300);

    /// Records that the directory lists an endpoint as draining.
    pub fn record_draining(&mut self, now: Time, era: u64, endpoint: &Endpoint) {
        self.record(
            now,
            Departure { endpoint: endpoint.clone(), kind: Kind::Draining, at: now, era },
        );
    }

    /// Records that the directory doesn't list an endpoint any more. It counts as gone from `at` on, unless its record
    /// comes back before.
    pub fn record_gone(&mut self, now: Time, at: Time, era: u64, endpoint: &Endpoint) {
        let mut known = self.by_name.get(&endpoint.name).into_iter().flatten();
        let known = known.find(|it| it.endpoint.is_same_incarnation(endpoint));
        let at = match known {
            // While it isn't certain that it has gone, it still counts as draining.
            Some(it) if it.kind == Kind::Draining && now < at => return,
            Some(it) if it.kind == Kind::Gone && it.era == era => at.min(it.at),
            _ => at,
        };
        self.record(now, Departure { endpoint: endpoint.clone(), kind: Kind::Gone, at, era });
    }

    /// Records that the directory told in this era that no endpoint of this name is registered.
    pub fn confirm_gone(&mut self, now: Time, era: u64, name: &EndpointName) {
        for departure in self.by_name.get_mut(name).into_iter().flatten() {
            *departure =
                Departure { endpoint: departure.endpoint.clone(), kind: Kind::Gone, at: now, era };
        }
    }

    fn record(&mut self, now: Time, departure: Departure) {
        self.by_name.retain(|_, departures| {
            departures.retain(|it| now.since(it.at) < Self::MEMORY);
            !departures.is_empty()
        });
        let departures = self.by_name.entry(departure.endpoint.name.clone()).or_default();
        departures.retain(|it| !it.endpoint.is_same_incarnation(&departure.endpoint));
        departures.push(departure);
    }

    /// Records that the directory was restored, or became reachable again within the hold time of an earlier return:
    /// it may have kept records in the meantime that nobody renewed.
    pub fn hold(&mut self, now: Time) {
        self.held_until = Some(now + Self::HOLD_TIME);
    }

    /// Returns until when endpoints that left before a return aren't used. `None` without a return.
    #[must_use]
    pub const fn held_until(&self) -> Option<Time> {
        self.held_until
    }

    /// Records that the directory was listed completely in this era. The hold ends if its time is over.
    pub fn record_listed(&mut self, now: Time, era: u64) {
        if self.held_until.is_none_or(|it| now < it) {
            return;
        }
        self.held_until = None;
        self.by_name.retain(|_, departures| {
            departures.retain(|it| it.era >= era);
            !departures.is_empty()
        });
    }

    /// Returns how a record that the directory lists in this era is applied, while `current` is the record of this name
    /// that is applied now. An endpoint that is used again isn't remembered any more.
    pub fn admit(
        &mut self,
        now: Time,
        era: u64,
        endpoint: &Endpoint,
        current: Option<&Endpoint>,
    ) -> Admission {
        let is_held = self.held_until.is_some_and(|it| now < it);
        // A record without a start time is from before the endpoint had one.
        let started_earlier = |it: &Endpoint| endpoint.started_at < it.started_at;
        if is_held && current.is_some_and(started_earlier) {
            return Admission::Gone;
        }
        let Some(departures) = self.by_name.get_mut(&endpoint.name) else {
            return Admission::AsListed;
        };
        let departure = departures.iter().find(|it| it.endpoint.is_same_incarnation(endpoint));
        let admission = match departure {
            Some(it) if is_held && it.era < era && it.at <= now => match it.kind {
                Kind::Draining if endpoint.draining => Admission::AsListed,
                Kind::Draining => Admission::Draining,
                Kind::Gone => Admission::Gone,
            },
            _ => Admission::AsListed,
        };
        if admission == Admission::AsListed {
            departures.retain(|it| !it.endpoint.is_same_incarnation(endpoint));
        }
        admission
    }
}
