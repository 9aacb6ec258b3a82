//! Announcements that endpoints make in their responses.

use std::sync::Arc;
use std::time::Duration;

use daisychute_core::Time;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::availability::Availability;
use crate::fleet::notice::Notice;
use crate::{Action, Dispatcher, EndpointKey, EngineStage, Incarnation, Reason, RequestKey};

/// Time over which the fronts return after a pause, multiplied by their number.
const RETURN_SPREAD_PER_FRONT: Duration = Duration::from_millis(10);
/// Maximum time over which the fronts return after a pause.
const MAX_RETURN_SPREAD: Duration = Duration::from_secs(1);
/// Time over which the clients return that were refused because of a pause.
const CLIENT_RETURN_SPREAD: Duration = Duration::from_millis(500);

impl Dispatcher {
    /// Sends an endpoint that announced to leave nothing new, and tells the other fronts.
    pub(crate) fn leaving_announced(
        &mut self,
        now: Time,
        endpoint: EndpointKey,
        actions: &mut Vec<Action>,
    ) {
        let Some(incarnation) = self.fleet.record_leaving(now, endpoint) else { return };
        self.fleet.note_leaving(now, endpoint);
        actions.push(Action::CloseIdleConnections { endpoint });
        let name = incarnation.name.clone();
        actions.push(Action::RecordLeaving { endpoint: name, by_peer: false });
        actions.push(Action::AnnounceLeaving { endpoint: incarnation });
        actions.push(Action::SendHeartbeat);
    }

    /// Treats endpoints that announced to another front that they are leaving like own ones.
    pub(crate) fn leaving_reported(
        &mut self,
        now: Time,
        endpoints: Vec<Incarnation>,
        actions: &mut Vec<Action>,
    ) {
        for incarnation in endpoints {
            let name = incarnation.name.clone();
            let Some(endpoint) = self.fleet.record_reported_leaving(now, incarnation) else {
                continue;
            };
            self.fleet.note_leaving(now, endpoint);
            actions.push(Action::CloseIdleConnections { endpoint });
            actions.push(Action::RecordLeaving { endpoint: name, by_peer: true });
        }
    }

    /// Requests the health checks of leaving endpoints that are due.
    pub(crate) fn check_leaving(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(table) = &self.table else { return };
        let due = self.fleet.due_checks(now).into_iter();
        actions.extend(due.filter_map(|(endpoint, record)| {
            let path = table.service(&record.service)?.health_path.clone();
            let (name, address) = (record.name.clone(), record.address);
            Some(Action::CheckLeaving { endpoint, name, address, path })
        }));
    }

    /// Returns the path of a health check of the endpoint to which a request was sent, which may have left since. `None` if
    /// the path isn't known, or if the endpoint wants a pause or limits its requests.
    #[must_use]
    pub fn health_path(
        &self,
        now: Time,
        request: RequestKey,
        endpoint: EndpointKey,
    ) -> Option<Arc<str>> {
        if self.fleet.is_paused(now, endpoint) || self.fleet.limit(endpoint).is_some() {
            return None;
        }
        let service = &self.requests.get(&request)?.service;
        Some(Arc::clone(&self.table.as_ref()?.service(service)?.health_path))
    }

    /// Sends an endpoint that wants a pause nothing until it ends.
    pub(crate) fn pause_requested(
        &mut self,
        now: Time,
        endpoint: EndpointKey,
        pause: Duration,
        spread: f64,
        actions: &mut Vec<Action>,
    ) {
        let fronts = u32::try_from(self.fronts).unwrap_or(u32::MAX);
        let max_spread = RETURN_SPREAD_PER_FRONT.saturating_mul(fronts).min(MAX_RETURN_SPREAD);
        let pause = pause.min(Notice::MAX_PAUSE);
        if pause.is_zero() {
            return;
        }
        let pause = pause + max_spread.mul_f64(spread.clamp(0.0, 1.0));
        if !self.fleet.record_pause(now, endpoint, pause) {
            return;
        }
        if let Some(record) = self.fleet.endpoint(endpoint) {
            actions.push(Action::RecordPause { endpoint: record.name.clone(), pause });
        }
    }

    /// Refuses a request if pauses and limits keep all endpoints that could take it from doing so. Returns whether it was
    /// refused.
    ///
    /// Requests that may have run aren't refused: they fail.
    pub(crate) fn refuse_unavailable(
        &mut self,
        now: Time,
        key: RequestKey,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(state) = self.requests.get(&key).filter(|it| !it.may_have_run) else {
            return false;
        };
        let stage = state.request.prompt.is_some().then_some(EngineStage::Decode);
        let earliest =
            self.fleet.earliest_return(now, &state.service, stage, state.stream_version.as_ref());
        let (earliest, reason) = match earliest {
            Some(Availability::Paused(at)) => (at, Reason::Paused),
            Some(Availability::Limited(at)) => (at, Reason::Limited),
            Some(Availability::Now | Availability::Closed) | None => return false,
        };
        // Clients that are refused together return over a while, as the endpoints take more and more requests.
        let share = (xxh3_64(state.request.id.as_bytes()) % 1_000) as f64 / 1e3;
        let retry_after = earliest.since(now) + CLIENT_RETURN_SPREAD.mul_f64(share);
        actions.push(Action::refuse_without_prediction(key, reason, Some(retry_after)));
        self.end(key, actions);
        true
    }

    /// Removes the releases of KV caches at paused endpoints from the actions after the first `first` ones. Engines
    /// drop an unused KV cache by themselves.
    pub(crate) fn drop_requests_to_paused(
        &self,
        now: Time,
        first: usize,
        actions: &mut Vec<Action>,
    ) {
        let is_dropped = |it: &Action| match it {
            Action::ReleaseKvCache { endpoint, .. } => self.fleet.is_paused(now, *endpoint),
            _ => false,
        };
        if actions[first..].iter().any(is_dropped) {
            let new = actions.split_off(first);
            actions.extend(new.into_iter().filter(|it| !is_dropped(it)));
        }
    }
}
