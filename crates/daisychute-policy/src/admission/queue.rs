//! The queue of requests that wait for the endpoint, in the order in which they start.

use std::collections::BTreeMap;

use daisychute_core::{ClassName, Precedence, RequestId, TenantName, Time};
use rustc_hash::FxHashMap;

use super::admission_request::AdmissionRequest;
use super::fair_share::FairShare;

/// Order of the requests in a lane: earliest deadline first, then request id.
type LaneKey = (Time, RequestId);

/// A queued request.
#[derive(Debug, Clone)]
pub(super) struct QueuedRequest {
    pub(super) request: AdmissionRequest,
    /// When the request was queued.
    pub(super) queued_at: Time,
}

/// The queued requests of one precedence, class and tenant, earliest deadline first.
#[derive(Debug, Clone, Default)]
struct Lane {
    requests: BTreeMap<LaneKey, QueuedRequest>,
    // Uncached prompt tokens of all requests in `requests`.
    prompt_tokens: u64,
}

/// An amount of queued work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct QueuedWork {
    /// Number of queued requests.
    pub(super) requests: u32,
    /// Uncached prompt tokens of these requests.
    pub(super) prompt_tokens: u64,
}

/// Queued requests of all precedences, classes and tenants.
#[derive(Debug, Clone, Default)]
pub(super) struct Queue {
    // Invariant: no lane is empty.
    lanes: BTreeMap<(Precedence, ClassName, TenantName), Lane>,
    // The lane and earliest deadline of each request. Invariant: holds exactly the requests in `lanes`.
    index: FxHashMap<RequestId, (Precedence, ClassName, TenantName, Time)>,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.index.len()
    }

    pub(super) fn push(&mut self, now: Time, request: AdmissionRequest) {
        let lane_id = (request.precedence, request.class.clone(), request.tenant.clone());
        let deadline = request.earliest_deadline();
        self.index.insert(request.id, (lane_id.0, lane_id.1.clone(), lane_id.2.clone(), deadline));
        let lane = self.lanes.entry(lane_id).or_default();
        lane.prompt_tokens += u64::from(request.uncached_tokens());
        lane.requests.insert((deadline, request.id), QueuedRequest { request, queued_at: now });
    }

    pub(super) fn remove(&mut self, id: RequestId) -> Option<QueuedRequest> {
        let (precedence, class, tenant, deadline) = self.index.remove(&id)?;
        let lane_id = (precedence, class, tenant);
        let lane = self.lanes.get_mut(&lane_id)?;
        let queued = lane.requests.remove(&(deadline, id))?;
        lane.prompt_tokens -= u64::from(queued.request.uncached_tokens());
        if lane.requests.is_empty() {
            self.lanes.remove(&lane_id);
        }
        Some(queued)
    }

    /// Returns the request of this precedence that starts next: the one with the earliest deadline after the
    /// fair-share penalty of its tenant.
    pub(super) fn head(
        &self,
        precedence: Precedence,
        shares: &FairShare,
    ) -> Option<&QueuedRequest> {
        self.lanes
            .iter()
            .filter(|((it, _, _), _)| *it == precedence)
            .filter_map(|((_, class, tenant), lane)| {
                let ((deadline, id), queued) = lane.requests.first_key_value()?;
                Some(((*deadline + shares.penalty(class, tenant), *id), queued))
            })
            .min_by_key(|(key, _)| *key)
            .map(|(_, queued)| queued)
    }

    /// Returns the queued work that starts before a request with this precedence, class, tenant and deadline.
    pub(super) fn ahead(&self, request: &AdmissionRequest, shares: &FairShare) -> QueuedWork {
        let penalized_deadline =
            request.earliest_deadline() + shares.penalty(&request.class, &request.tenant);
        let mut ahead = QueuedWork::default();
        for ((precedence, class, tenant), lane) in &self.lanes {
            if *precedence < request.precedence {
                ahead.requests += lane.requests.len() as u32;
                ahead.prompt_tokens += lane.prompt_tokens;
            } else if *precedence == request.precedence {
                let bound = penalized_deadline - shares.penalty(class, tenant);
                ahead.add_lane(lane, bound);
            }
        }
        ahead
    }

    /// Returns the queued work of this precedence and of all more urgent ones.
    pub(super) fn up_to(&self, precedence: Precedence) -> QueuedWork {
        let mut total = QueuedWork::default();
        for (_, lane) in self.lanes.iter().take_while(|((it, _, _), _)| *it <= precedence) {
            total.requests += lane.requests.len() as u32;
            total.prompt_tokens += lane.prompt_tokens;
        }
        total
    }

    /// Iterates over all queued requests.
    pub(super) fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.lanes.values().flat_map(|it| it.requests.values())
    }
}

impl QueuedWork {
    /// Adds the requests of `lane` whose earliest deadline is at most `bound`.
    fn add_lane(&mut self, lane: &Lane, bound: Time) {
        let last_deadline = lane.requests.last_key_value().map(|((deadline, _), _)| *deadline);
        if last_deadline.is_some_and(|it| it <= bound) {
            self.requests += lane.requests.len() as u32;
            self.prompt_tokens += lane.prompt_tokens;
            return;
        }
        for ((deadline, _), queued) in &lane.requests {
            if *deadline > bound {
                return;
            }
            self.requests += 1;
            self.prompt_tokens += u64::from(queued.request.uncached_tokens());
        }
    }
}
