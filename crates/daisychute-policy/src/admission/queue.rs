//! Requests that wait, in the order in which they will start.

use std::collections::BTreeMap;

use daisychute_core::{ClassName, Precedence, RequestId, TenantName, Time};
use rustc_hash::FxHashMap;

use super::admission_request::AdmissionRequest;
use super::fair_share::FairShare;

type Key = (Time, RequestId);

/// A waiting request.
#[derive(Debug, Clone)]
pub(super) struct Waiting {
    pub(super) request: AdmissionRequest,
    pub(super) since: Time,
}

/// The requests of one tenant in one class, by what is due first.
#[derive(Debug, Clone, Default)]
struct Lane {
    waiting: BTreeMap<Key, Waiting>,
    prompt_tokens: u64,
}

/// Where a request stands in a queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Ahead {
    /// Requests before it.
    pub(super) requests: u32,
    /// Their uncached prompt tokens.
    pub(super) prompt_tokens: u64,
}

/// Requests that wait.
#[derive(Debug, Clone, Default)]
pub(super) struct Queue {
    // Invariant: no lane is empty.
    lanes: BTreeMap<(Precedence, ClassName, TenantName), Lane>,
    // Invariant: holds exactly the requests in `lanes`.
    index: FxHashMap<RequestId, (Precedence, ClassName, TenantName, Time)>,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.index.len()
    }

    pub(super) fn push(&mut self, now: Time, request: AdmissionRequest) {
        let place = (request.precedence, request.class.clone(), request.tenant.clone());
        let due = request.due();
        self.index.insert(request.id, (place.0, place.1.clone(), place.2.clone(), due));
        let lane = self.lanes.entry(place).or_default();
        lane.prompt_tokens += u64::from(request.uncached_tokens());
        lane.waiting.insert((due, request.id), Waiting { request, since: now });
    }

    pub(super) fn remove(&mut self, id: RequestId) -> Option<Waiting> {
        let (precedence, class, tenant, due) = self.index.remove(&id)?;
        let place = (precedence, class, tenant);
        let lane = self.lanes.get_mut(&place)?;
        let waiting = lane.waiting.remove(&(due, id))?;
        lane.prompt_tokens -= u64::from(waiting.request.uncached_tokens());
        if lane.waiting.is_empty() {
            self.lanes.remove(&place);
        }
        Some(waiting)
    }

    /// The request of this precedence whose turn is next.
    pub(super) fn head(&self, precedence: Precedence, shares: &FairShare) -> Option<&Waiting> {
        self.lanes
            .iter()
            .filter(|((it, _, _), _)| *it == precedence)
            .filter_map(|((_, class, tenant), lane)| {
                let ((due, id), waiting) = lane.waiting.first_key_value()?;
                Some(((*due + shares.penalty(class, tenant), *id), waiting))
            })
            .min_by_key(|(key, _)| *key)
            .map(|(_, waiting)| waiting)
    }

    /// What starts before a request with this precedence, class, tenant and due time.
    pub(super) fn ahead(&self, request: &AdmissionRequest, shares: &FairShare) -> Ahead {
        let key = request.due() + shares.penalty(&request.class, &request.tenant);
        let mut ahead = Ahead::default();
        for ((precedence, class, tenant), lane) in &self.lanes {
            if *precedence < request.precedence {
                ahead.requests += lane.waiting.len() as u32;
                ahead.prompt_tokens += lane.prompt_tokens;
            } else if *precedence == request.precedence {
                let bound = key - shares.penalty(class, tenant);
                ahead.add_lane(lane, bound);
            }
        }
        ahead
    }

    /// Requests and prompt tokens that wait with this precedence or a sooner one.
    pub(super) fn up_to(&self, precedence: Precedence) -> Ahead {
        let mut ahead = Ahead::default();
        for (_, lane) in self.lanes.iter().take_while(|((it, _, _), _)| *it <= precedence) {
            ahead.requests += lane.waiting.len() as u32;
            ahead.prompt_tokens += lane.prompt_tokens;
        }
        ahead
    }

    /// All waiting requests.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.lanes.values().flat_map(|it| it.waiting.values())
    }
}

impl Ahead {
    fn add_lane(&mut self, lane: &Lane, bound: Time) {
        let last = lane.waiting.last_key_value().map(|((due, _), _)| *due);
        if last.is_some_and(|it| it <= bound) {
            self.requests += lane.waiting.len() as u32;
            self.prompt_tokens += lane.prompt_tokens;
            return;
        }
        for ((due, _), waiting) in &lane.waiting {
            if *due > bound {
                return;
            }
            self.requests += 1;
            self.prompt_tokens += u64::from(waiting.request.uncached_tokens());
        }
    }
}
