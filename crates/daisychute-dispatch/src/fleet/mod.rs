//! Endpoints that a front knows, from the directory, its own requests and its peers.

pub(crate) mod availability;
pub(crate) mod backlog;
pub(crate) mod budget;
pub(crate) mod endpoint;
pub(crate) mod cost_model;
pub(crate) mod front_position;
pub(crate) mod health;
pub(crate) mod in_flight;
pub(crate) mod incarnation;
pub(crate) mod load;
pub(crate) mod misdirection;
pub(crate) mod named_limit;
pub(crate) mod notice;
pub(crate) mod prefix_cache;
pub(crate) mod prompt;
pub(crate) mod recent_delay;
pub(crate) mod recent_maximum;
pub(crate) mod request_rate;
pub(crate) mod selection;
pub(crate) mod stage_times;
pub(crate) mod unseen_sends;
pub(crate) mod version_history;
pub(crate) mod wait_factor;
pub(crate) mod work_rate;

use std::collections::BTreeMap;
use std::time::Duration;

use daisychute_core::{EndpointName, ServiceName, SoftwareVersion, Time};
use rustc_hash::FxHashMap;

use crate::fleet::availability::Availability;
use crate::fleet::endpoint::TrackedEndpoint;
use crate::fleet::front_position::FrontPosition;
use crate::fleet::notice::Notice;
use crate::{
    Endpoint, EndpointKey, EndpointLifecycle, EngineStage, Incarnation, PeerLoad, RequestRate,
};

/// How the directory record of an endpoint disappeared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Removal {
    /// The record was deleted while the directory was reachable; the endpoint is removed at once.
    Left,
    /// The record was missing after an outage of the directory. The endpoint is removed after this time, unless its
    /// record comes back.
    AfterOutage(Duration),
}

/// All known endpoints. Keys are never reused.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    next: u32,
    tracked: BTreeMap<EndpointKey, TrackedEndpoint>,
    // Key of the latest incarnation of each name in `tracked`.
    names: FxHashMap<EndpointName, EndpointKey>,
    // Endpoints at which each peer reported requests in its latest heartbeat.
    reported: FxHashMap<u64, Vec<EndpointKey>>,
    // Keys of the endpoints of each service, in ascending order.
    services: FxHashMap<ServiceName, Vec<EndpointKey>>,
    // Incarnations that aren't in `tracked`, with what they announced: a directory that is behind may list them again.
    former: BTreeMap<EndpointKey, (Incarnation, Notice)>,
    // When each endpoint was first known to leave.
    leaving_since: BTreeMap<EndpointKey, Time>,
    // Place of this front among those that share the endpoints.
    position: FrontPosition,
}

/// Maximum number of incarnations that are remembered after their removal or their announcement to leave.
const MAX_FORMER: usize = 2_048;

impl Fleet {
    /// Adds or updates a directory record. Returns its key and, if the endpoint restarted, the key that it replaces.
    pub fn upsert(&mut self, endpoint: Endpoint) -> (EndpointKey, Option<EndpointKey>) {
        if let Some(key) = self.names.get(&endpoint.name).copied() {
            if self.same_incarnation(key, &endpoint) {
                if let Some(tracked) = self.tracked.get_mut(&key) {
                    tracked.update(endpoint);
                }
                return (key, None);
            }
            self.forget(key);
            return (self.insert(endpoint), Some(key));
        }
        (self.insert(endpoint), None)
    }

    fn same_incarnation(&self, key: EndpointKey, endpoint: &Endpoint) -> bool {
        self.tracked.get(&key).is_some_and(|it| it.endpoint.is_same_incarnation(endpoint))
    }

    fn insert(&mut self, endpoint: Endpoint) -> EndpointKey {
        let key = self.next_key();
        self.names.insert(endpoint.name.clone(), key);
        self.services.entry(endpoint.service.clone()).or_default().push(key);
        let former = self.former.iter().rev().find(|(_, it)| it.0.is(&endpoint));
        let former = former.map(|(key, _)| *key).and_then(|it| self.former.remove(&it));
        let notice = former.map_or_else(Notice::default, |(_, notice)| notice);
        self.tracked.insert(key, TrackedEndpoint::new(endpoint, notice));
        key
    }

    const fn next_key(&mut self) -> EndpointKey {
        let key = EndpointKey::new(self.next);
        self.next += 1;
        key
    }

    fn remember(&mut self, key: EndpointKey, incarnation: Incarnation, notice: Notice) {
        self.former.insert(key, (incarnation, notice));
        if self.former.len() > MAX_FORMER {
            self.former.pop_first();
        }
    }

    /// Removes the endpoint of this name, or schedules its removal. Returns the key if it was removed at once.
    pub fn remove(
        &mut self,
        now: Time,
        name: &EndpointName,
        removal: Removal,
    ) -> Option<EndpointKey> {
        let key = self.names.get(name).copied()?;
        match removal {
            Removal::Left => {
                self.forget(key);
                Some(key)
            }
            Removal::AfterOutage(delay) => {
                let tracked = self.tracked.get_mut(&key)?;
                if tracked.lifecycle == EndpointLifecycle::Ready {
                    tracked.lifecycle = EndpointLifecycle::RemovalPending { until: now + delay };
                }
                None
            }
        }
    }

    /// Removes the endpoints whose pending removal is due. Returns their keys.
    pub fn expire(&mut self, now: Time) -> Vec<EndpointKey> {
        let is_due = |it: &TrackedEndpoint| matches!(it.lifecycle, EndpointLifecycle::RemovalPending { until } if until <= now);
        let keys: Vec<_> =
            self.tracked.iter().filter(|(_, it)| is_due(it)).map(|(key, _)| *key).collect();
        for key in &keys {
            self.forget(*key);
        }
        keys
    }

    fn forget(&mut self, key: EndpointKey) {
        let Some(tracked) = self.tracked.remove(&key) else { return };
        self.remember(key, Incarnation::from(&tracked.endpoint), tracked.notice);
        let Endpoint { name, service, .. } = tracked.endpoint;
        if self.names.get(&name) == Some(&key) {
            self.names.remove(&name);
        }
        if let Some(keys) = self.services.get_mut(&service) {
            keys.retain(|it| *it != key);
            if keys.is_empty() {
                self.services.remove(&service);
            }
        }
    }

    /// Notes since when an endpoint is known to leave, or that it doesn't.
    pub(crate) fn note_leaving(&mut self, now: Time, key: EndpointKey) {
        if !self.is_leaving(key) {
            self.leaving_since.remove(&key);
            return;
        }
        self.leaving_since.entry(key).or_insert(now);
        if self.leaving_since.len() > MAX_FORMER {
            let earliest = self.leaving_since.iter().min_by_key(|it| it.1).map(|it| *it.0);
            earliest.and_then(|it| self.leaving_since.remove(&it));
        }
    }

    /// Whether the record of an endpoint is missing after an outage of the directory: it may have left during that.
    pub(crate) fn is_removal_pending(&self, key: EndpointKey) -> bool {
        let lifecycle = self.tracked.get(&key).map(|it| it.lifecycle);
        matches!(lifecycle, Some(EndpointLifecycle::RemovalPending { .. }))
    }

    /// Returns when an endpoint was first known to leave; `None` if it isn't.
    pub(crate) fn leaving_since(&self, key: EndpointKey) -> Option<Time> {
        self.leaving_since.get(&key).copied()
    }

    /// Returns the directory record of an endpoint.
    #[must_use]
    pub fn endpoint(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.tracked.get(&key).map(|it| &it.endpoint)
    }

    /// Returns the identity of an endpoint, also after its removal as long as it is remembered.
    pub(crate) fn incarnation(&self, key: EndpointKey) -> Option<Incarnation> {
        let tracked = self.tracked.get(&key).map(|it| Incarnation::from(&it.endpoint));
        tracked.or_else(|| self.former.get(&key).map(|it| it.0.clone()))
    }

    /// Returns the key of the latest incarnation of a name.
    #[must_use]
    pub fn key(&self, name: &EndpointName) -> Option<EndpointKey> {
        self.names.get(name).copied()
    }

    /// Returns the directory records of all endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.tracked.values().map(|it| &it.endpoint)
    }

    /// Whether endpoints are known whose records are missing, and which aren't removed yet.
    #[must_use]
    pub fn has_pending_removals(&self) -> bool {
        let is_pending =
            |it: &TrackedEndpoint| matches!(it.lifecycle, EndpointLifecycle::RemovalPending { .. });
        self.tracked.values().any(is_pending)
    }

    /// Returns the names of all endpoints.
    pub fn names(&self) -> impl Iterator<Item = &EndpointName> {
        self.names.keys()
    }

    /// Whether an endpoint takes new requests.
    #[must_use]
    pub fn takes_work(&self, now: Time, key: EndpointKey) -> bool {
        self.tracked.get(&key).is_some_and(|it| it.takes_work(now))
    }

    /// Whether an endpoint is known to leave: it drains, says so in its responses, or is no longer registered.
    #[must_use]
    pub fn is_leaving(&self, key: EndpointKey) -> bool {
        self.tracked.get(&key).is_none_or(TrackedEndpoint::is_leaving)
    }

    /// Returns the limit that an endpoint names; `None` if it names none.
    #[must_use]
    pub fn limit(&self, key: EndpointKey) -> Option<RequestRate> {
        self.notice(key)?.limit()
    }

    fn notice(&self, key: EndpointKey) -> Option<&Notice> {
        let tracked = self.tracked.get(&key).map(|it| &it.notice);
        tracked.or_else(|| self.former.get(&key).map(|it| &it.1))
    }

    fn notice_mut(&mut self, key: EndpointKey) -> Option<&mut Notice> {
        let tracked = self.tracked.get_mut(&key).map(|it| &mut it.notice);
        tracked.or_else(|| self.former.get_mut(&key).map(|it| &mut it.1))
    }

    /// Records the limit that an endpoint named in a response at `at`; `None` if it named none. Returns whether it differs
    /// from the one before.
    pub(crate) fn record_limit(
        &mut self,
        now: Time,
        key: EndpointKey,
        limit: Option<RequestRate>,
        at: Time,
    ) -> bool {
        let position = self.position;
        self.notice_mut(key).is_some_and(|it| it.record_limit(now, limit, at, position))
    }

    /// Counts a request that is sent to an endpoint.
    pub(crate) fn record_send(&mut self, now: Time, key: EndpointKey) {
        if let Some(notice) = self.notice_mut(key) {
            notice.record_send(now);
        }
    }

    /// Sets the place of this front among those that share the endpoints.
    pub(crate) fn set_position(&mut self, now: Time, position: FrontPosition) {
        if self.position.count != position.count {
            let tracked = self.tracked.values_mut().map(|it| &mut it.notice);
            let notices = tracked.chain(self.former.values_mut().map(|it| &mut it.1));
            notices.for_each(|it| it.set_fronts(now, position.count));
        }
        self.position = position;
    }

    /// Returns the number of fronts that share the endpoints, this one included.
    pub(crate) const fn front_count(&self) -> usize {
        self.position.count
    }

    /// Returns the number of endpoints that name a limit.
    #[must_use]
    pub fn limited_count(&self) -> usize {
        self.tracked.values().filter(|it| it.notice.limit().is_some()).count()
    }

    /// Records that an endpoint announced that it is leaving. Returns its identity if that is news.
    pub(crate) fn record_leaving(&mut self, now: Time, key: EndpointKey) -> Option<Incarnation> {
        if let Some(tracked) = self.tracked.get_mut(&key) {
            let is_news = tracked.notice.record_leaving(now);
            return is_news.then(|| Incarnation::from(&tracked.endpoint));
        }
        let (incarnation, notice) = self.former.get_mut(&key)?;
        notice.record_leaving(now).then(|| incarnation.clone())
    }

    /// Records that an endpoint announced to another front that it is leaving. Returns its key if that is news about
    /// a known endpoint.
    pub(crate) fn record_reported_leaving(
        &mut self,
        now: Time,
        incarnation: Incarnation,
    ) -> Option<EndpointKey> {
        let known = self.key(&incarnation.name).and_then(|it| self.tracked.get_mut(&it));
        if let Some(tracked) = known
            && incarnation.is(&tracked.endpoint)
        {
            let is_news = tracked.notice.record_leaving(now);
            return self.key(&incarnation.name).filter(|_| is_news);
        }
        if let Some((_, notice)) = self.former.values_mut().find(|it| it.0 == incarnation) {
            notice.record_leaving(now);
            return None;
        }
        let (key, mut notice) = (self.next_key(), Notice::default());
        notice.record_leaving(now);
        self.remember(key, incarnation, notice);
        None
    }

    /// Records that a leaving endpoint responded to a health check that it stays.
    pub(crate) fn record_staying(&mut self, key: EndpointKey) {
        if let Some(tracked) = self.tracked.get_mut(&key) {
            tracked.notice.record_staying();
        }
    }

    /// Records that an endpoint wants no requests of this front for a time. Returns whether that makes its pause longer.
    pub(crate) fn record_pause(&mut self, now: Time, key: EndpointKey, pause: Duration) -> bool {
        self.notice_mut(key).is_some_and(|it| it.record_pause(now, pause))
    }

    /// Whether an endpoint wants no requests of this front now.
    #[must_use]
    pub fn is_paused(&self, now: Time, key: EndpointKey) -> bool {
        self.notice(key).is_some_and(|it| it.is_paused(now))
    }

    /// Returns the earliest availability of an endpoint of the service, of this stage and software version if they are
    /// given. `None` if one takes a request at `now`, or if pauses and limits aren't what keeps them all from it.
    pub(crate) fn earliest_return(
        &self,
        now: Time,
        service: &ServiceName,
        stage: Option<EngineStage>,
        version: Option<&Option<SoftwareVersion>>,
    ) -> Option<Availability> {
        let fits = |it: &TrackedEndpoint| {
            (stage.is_none() || it.endpoint.stage == stage)
                && version.is_none_or(|version| it.endpoint.software_version == *version)
        };
        let mut earliest: Option<Availability> = None;
        for (_, tracked) in self.of_service(service).filter(|it| fits(it.1)) {
            let availability = tracked.availability(now);
            if availability == Availability::Now {
                return None;
            }
            let is_earlier = |at: Time| {
                earliest.and_then(Availability::returns_at).is_none_or(|earliest| at < earliest)
            };
            if availability.returns_at().is_some_and(is_earlier) {
                earliest = Some(availability);
            }
        }
        earliest
    }

    /// Returns the leaving endpoints whose next health check is due, and schedules the one after that. Endpoints that
    /// the directory lists as draining aren't checked.
    pub(crate) fn due_checks(&mut self, now: Time) -> Vec<(EndpointKey, &Endpoint)> {
        let is_due = |it: &mut TrackedEndpoint| {
            it.lifecycle == EndpointLifecycle::Ready
                && !it.notice.is_paused(now)
                && it.notice.take_due_check(now)
        };
        let due = self
            .tracked
            .iter_mut()
            .filter_map(|(key, it)| is_due(it).then_some((*key, &it.endpoint)));
        due.collect()
    }

    /// Replaces all loads that this peer reported before; endpoints that aren't in `loads` lose theirs.
    pub fn set_peer_load(&mut self, now: Time, peer: u64, loads: &[(EndpointName, PeerLoad)]) {
        let reported = self.reported.entry(peer).or_default();
        for key in reported.drain(..) {
            if let Some(tracked) = self.tracked.get_mut(&key) {
                tracked.peer_loads.remove(&peer);
            }
        }
        for (name, load) in loads {
            let Some(key) = self.names.get(name) else { continue };
            if let Some(tracked) = self.tracked.get_mut(key) {
                tracked.peer_loads.insert(peer, (now, *load));
                reported.push(*key);
            }
        }
    }

    /// Returns this front's own load at each endpoint where it has requests in flight.
    pub fn own_load(&self, now: Time) -> impl Iterator<Item = (&EndpointName, PeerLoad)> {
        let busy = self.tracked.values().filter(|it| it.in_flight.requests() > 0);
        busy.map(move |it| (&it.endpoint.name, it.in_flight.peer_load(now)))
    }

    /// Returns the number of known endpoints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tracked.len()
    }

    /// Whether no endpoint is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tracked.is_empty()
    }

    pub(crate) fn tracked_mut(&mut self, key: EndpointKey) -> Option<&mut TrackedEndpoint> {
        self.tracked.get_mut(&key)
    }

    pub(crate) fn of_service(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (EndpointKey, &TrackedEndpoint)> {
        let keys = self.services.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().filter_map(|key| self.tracked.get(key).map(|it| (*key, it)))
    }
}
