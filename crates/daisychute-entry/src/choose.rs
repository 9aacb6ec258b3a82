//! How the entry decides which agent gets a request.

use daisychute_core::{EndpointKind, EndpointName, EndpointState, Time};
use daisychute_proto::{Call, Completion, Work};

use crate::core::{Agent, Submission};

/// Decides which agent gets a request.
pub trait Choose {
    /// The endpoint to send a request to; none if no candidate will do. Every candidate serves the request and takes
    /// new work.
    fn choose<'a>(
        &mut self,
        now: Time,
        submission: &Submission,
        candidates: impl Iterator<Item = &'a Agent>,
    ) -> Option<EndpointName>;
}

/// Takes the endpoint with the fewest requests: those of its last report and those sent since by this entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FewestRequests;

impl Choose for FewestRequests {
    fn choose<'a>(
        &mut self,
        _now: Time,
        _submission: &Submission,
        candidates: impl Iterator<Item = &'a Agent>,
    ) -> Option<EndpointName> {
        let load = |it: &Agent| {
            let reported = it.load.map_or(0, |(_, load)| load.queued + load.running);
            reported.max(u32::try_from(it.requests.len()).unwrap_or(u32::MAX))
        };
        candidates.min_by_key(|it| load(it)).map(|it| it.record.endpoint.clone())
    }
}

/// Whether the endpoint of an agent serves this work and takes new work.
pub(crate) fn serves(agent: &Agent, work: &Work) -> bool {
    agent.record.state == EndpointState::Live
        && match work {
            Work::Completion(completion) => serves_completion(agent, completion),
            Work::Call(call) => serves_call(agent, call),
        }
}

fn serves_completion(agent: &Agent, completion: &Completion) -> bool {
    agent.record.target.as_ref().is_some_and(|it| {
        let version = completion.version.as_ref();
        it.model == completion.model
            && it.adapter == completion.adapter
            && (version.is_none() || version == Some(&it.version))
    })
}

fn serves_call(agent: &Agent, call: &Call) -> bool {
    matches!(&agent.record.kind, EndpointKind::Service(name) if *name == call.service)
}
