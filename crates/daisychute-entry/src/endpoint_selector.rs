//! Selection of the endpoint that runs a request.

use std::collections::{BTreeMap, BTreeSet};

use daisychute_core::{
    EndpointKind, EndpointName, EndpointRecord, EndpointState, LoadReport, Time,
};
use daisychute_proto::{Call, Completion, Work};

use crate::core::Submission;

/// Selects the endpoint for each run of a request. The entry reports everything that it learns about endpoints to it.
pub trait EndpointSelector {
    /// Adds an endpoint or updates its record.
    fn endpoint_updated(&mut self, now: Time, record: &EndpointRecord);
    /// Removes an endpoint that was removed from the directory or takes no work.
    fn endpoint_removed(&mut self, endpoint: &EndpointName);
    /// Records a load report of an endpoint, received at `now`.
    fn report(&mut self, now: Time, endpoint: &EndpointName, load: LoadReport);
    /// Records that an endpoint sent a complete response.
    fn succeeded(&mut self, endpoint: &EndpointName);
    /// Records that a run was lost at an endpoint. A refusal without a run, such as for overload, is not a failure.
    fn failed(&mut self, now: Time, endpoint: &EndpointName);
    /// Selects an endpoint for a request and counts the request as sent there. Returns `None` if no endpoint is
    /// suitable. Must not return an endpoint in `tried`, which holds those of earlier runs.
    fn select(
        &mut self,
        now: Time,
        submission: &Submission,
        tried: &BTreeSet<EndpointName>,
    ) -> Option<EndpointName>;
}

/// Selects the endpoint with the fewest queued and running requests in its last load report; the first by name breaks
/// ties.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LeastLoad {
    /// Record and number of requests of each endpoint.
    endpoints: BTreeMap<EndpointName, (EndpointRecord, u32)>,
}

impl EndpointSelector for LeastLoad {
    fn endpoint_updated(&mut self, _now: Time, record: &EndpointRecord) {
        let load = self.endpoints.get(&record.endpoint).map_or(0, |it| it.1);
        self.endpoints.insert(record.endpoint.clone(), (record.clone(), load));
    }

    fn endpoint_removed(&mut self, endpoint: &EndpointName) {
        self.endpoints.remove(endpoint);
    }

    fn report(&mut self, _now: Time, endpoint: &EndpointName, load: LoadReport) {
        if let Some(entry) = self.endpoints.get_mut(endpoint) {
            entry.1 = load.queued + load.running;
        }
    }

    fn succeeded(&mut self, _endpoint: &EndpointName) {}

    fn failed(&mut self, _now: Time, _endpoint: &EndpointName) {}

    fn select(
        &mut self,
        _now: Time,
        submission: &Submission,
        tried: &BTreeSet<EndpointName>,
    ) -> Option<EndpointName> {
        let is_candidate = |it: &&(EndpointRecord, u32)| {
            serves(&it.0, &submission.work) && !tried.contains(&it.0.endpoint)
        };
        let least_loaded = self.endpoints.values().filter(is_candidate).min_by_key(|it| it.1)?;
        Some(least_loaded.0.endpoint.clone())
    }
}

/// Whether an endpoint is live and serves the model, adapter and version, or the service, that the work asks for.
pub(crate) fn serves(record: &EndpointRecord, work: &Work) -> bool {
    record.state == EndpointState::Live
        && match work {
            Work::Completion(completion) => serves_completion(record, completion),
            Work::Call(call) => serves_call(record, call),
        }
}

fn serves_completion(record: &EndpointRecord, completion: &Completion) -> bool {
    record.target.as_ref().is_some_and(|it| {
        let version = completion.version.as_ref();
        it.model == completion.model
            && it.adapter == completion.adapter
            && (version.is_none() || version == Some(&it.version))
    })
}

fn serves_call(record: &EndpointRecord, call: &Call) -> bool {
    matches!(&record.kind, EndpointKind::Service(name) if *name == call.service)
}
