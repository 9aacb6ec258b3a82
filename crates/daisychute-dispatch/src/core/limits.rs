//! Limits on the rate of requests that endpoints name in their responses.

use daisychute_core::{EndpointName, Time};

use crate::{Action, Dispatcher, EndpointKey, RequestRate};

/// Limit that an endpoint named to a front, as told among fronts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitNews {
    /// Name of the endpoint.
    pub endpoint: EndpointName,
    /// Start time of the endpoint, in Unix milliseconds; `None` if the directory doesn't say.
    pub started_at: Option<u64>,
    /// The limit; `None` if the endpoint names none any more.
    pub limit: Option<RequestRate>,
    /// When the endpoint responded.
    pub at: Time,
}

impl Dispatcher {
    /// Records the limit in a response to a request that was sent at `sent_at`; `None` if it names none. Tells the other
    /// fronts if it differs from the one before.
    pub(crate) fn limit_named(
        &mut self,
        now: Time,
        endpoint: EndpointKey,
        limit: Option<RequestRate>,
        sent_at: Time,
        actions: &mut Vec<Action>,
    ) {
        // Responses on different connections may overtake each other.
        let at = if limit.is_some() { now } else { sent_at };
        if !self.fleet.record_limit(now, endpoint, limit, at) {
            return;
        }
        let Some(incarnation) = self.fleet.incarnation(endpoint) else { return };
        let (endpoint, started_at) = (incarnation.name, incarnation.started_at);
        actions.push(Action::RecordLimit { endpoint: endpoint.clone(), limit, by_peer: false });
        let news = LimitNews { endpoint, started_at, limit, at: now };
        actions.push(Action::AnnounceLimit { news });
        actions.push(Action::SendHeartbeat);
    }

    /// Treats limits that endpoints named to another front like own ones, unless this front knows later ones.
    pub(crate) fn limits_reported(
        &mut self,
        now: Time,
        news: Vec<LimitNews>,
        actions: &mut Vec<Action>,
    ) {
        for LimitNews { endpoint, started_at, limit, at } in news {
            let known = self.fleet.key(&endpoint);
            let is_same_start = |it: &EndpointKey| {
                self.fleet.endpoint(*it).is_some_and(|it| it.started_at == started_at)
            };
            let Some(key) = known.filter(is_same_start) else { continue };
            if self.fleet.record_limit(now, key, limit, at) {
                actions.push(Action::RecordLimit { endpoint, limit, by_peer: true });
            }
        }
    }

    /// Counts the requests that the actions after the first `first` ones make beside those of clients.
    pub(crate) fn count_own_requests(&mut self, now: Time, first: usize, actions: &[Action]) {
        for action in &actions[first..] {
            match action {
                Action::ReleaseKvCache { endpoint, .. }
                | Action::QueryCache { endpoint, .. }
                | Action::CheckLeaving { endpoint, .. } => self.fleet.record_send(now, *endpoint),
                _ => {}
            }
        }
    }
}
