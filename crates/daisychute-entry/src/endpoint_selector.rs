//! How the entry decides which agent gets a request.

use std::collections::{BTreeMap, BTreeSet};

use daisychute_core::{
    EndpointKind, EndpointName, EndpointRecord, EndpointState, LoadReport, Time,
};
use daisychute_proto::{Call, Completion, Work};

use crate::core::Submission;

/// Decides which agent gets a request. It is told everything that the entry learns of endpoints.
pub trait EndpointSelector {
    /// What is known of an endpoint is new or has changed.
    fn endpoint_updated(&mut self, now: Time, record: &EndpointRecord);
    /// An endpoint is gone.
    fn endpoint_removed(&mut self, endpoint: &EndpointName);
    /// An endpoint's load came.
    fn report(&mut self, now: Time, endpoint: &EndpointName, load: LoadReport);
    /// An endpoint answered a request whole.
    fn succeeded(&mut self, endpoint: &EndpointName);
    /// An endpoint failed a request. A refusal for load is no failure.
    fn failed(&mut self, now: Time, endpoint: &EndpointName);
    /// The endpoint that a request goes to, and counts it as sent there; none if none will do. It must not be one of
    /// `tried`.
    fn choose(
        &mut self,
        now: Time,
        submission: &Submission,
        tried: &BTreeSet<EndpointName>,
    ) -> Option<EndpointName>;
}

/// Takes the endpoint with the fewest requests of its last report; between equal ones, the first by name.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LeastLoad {
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
        if let Some(known) = self.endpoints.get_mut(endpoint) {
            known.1 = load.queued + load.running;
        }
    }

    fn succeeded(&mut self, _endpoint: &EndpointName) {}

    fn failed(&mut self, _now: Time, _endpoint: &EndpointName) {}

    fn choose(
        &mut self,
        _now: Time,
        submission: &Submission,
        tried: &BTreeSet<EndpointName>,
    ) -> Option<EndpointName> {
        let fits = |it: &&(EndpointRecord, u32)| {
            serves(&it.0, &submission.work) && !tried.contains(&it.0.endpoint)
        };
        let least = self.endpoints.values().filter(fits).min_by_key(|it| it.1)?;
        Some(least.0.endpoint.clone())
    }
}

/// Whether an endpoint serves this work and takes new work.
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
