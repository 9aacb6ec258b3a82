//! Responses that grow far beyond those that their route usually gets.

use std::sync::Arc;
use std::time::Duration;

use daisychute_core::{ServiceName, Time};
use rustc_hash::FxHashMap;

use crate::{Action, Dispatcher, RecentMaximum, RequestKey};

/// Multiple of the usual size beyond which a response is oversized.
const USUAL_FACTOR: u64 = 4;
/// Minimum rate at which an oversized response arrives and is read, in bytes per second of waiting for either. What grows
/// more slowly, such as a long stream or a response to a slow client, burdens nobody.
const MIN_RATE: f64 = 1024.0 * 1024.0;

/// The largest whole responses of late, by the service and the name of the route. Responses below the size from which the
/// I/O shell reports them have none.
pub(crate) type ResponseSizes = FxHashMap<(ServiceName, Arc<str>), RecentMaximum<u64>>;

impl Dispatcher {
    /// Records how much of a response has arrived, and ejects the endpoint if that is too much to come to an end. A response
    /// that ends after all returns the endpoint.
    pub(crate) fn response_grew(
        &mut self,
        now: Time,
        key: RequestKey,
        bytes: u64,
        waited: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.requests.get_mut(&key) else { return };
        state.response_bytes = bytes;
        let sizes = self.response_sizes.get(&state.stage_times_key());
        let usual = sizes.and_then(|it| it.get(now)).unwrap_or(0);
        let is_fast = bytes as f64 > MIN_RATE * waited.as_secs_f64();
        if bytes <= usual * USUAL_FACTOR || !is_fast {
            return;
        }
        let is_first = !std::mem::replace(&mut state.is_oversized, true);
        let endpoint = state.in_flight.as_ref().map(|it| it.endpoint);
        let Some(tracked) = endpoint.and_then(|it| self.fleet.tracked_mut(it)) else { return };
        tracked.health.record_suspicion(now);
        if is_first {
            let endpoint = tracked.endpoint.name.clone();
            actions.push(Action::RecordOversized { key, endpoint, bytes, usual });
        }
    }

    /// Records the size of a whole response, if it is one of those that are reported.
    pub(crate) fn record_response_size(&mut self, now: Time, key: RequestKey) {
        let Some(state) = self.requests.get(&key).filter(|it| it.response_bytes > 0) else {
            return;
        };
        let (sizes, bytes) = (state.stage_times_key(), state.response_bytes);
        self.response_sizes.entry(sizes).or_default().record(now, bytes);
    }

    /// Counts a failure at the endpoint of a request whose response was oversized and hasn't ended in time.
    pub(crate) fn record_endless(&mut self, now: Time, key: RequestKey) {
        let Some(state) = self.requests.get(&key).filter(|it| it.is_oversized) else { return };
        let endpoint = state.in_flight.as_ref().map(|it| it.endpoint);
        if let Some(tracked) = endpoint.and_then(|it| self.fleet.tracked_mut(it)) {
            tracked.health.record_severe_failure(now);
        }
    }
}
