//! Events of a replay and their queue, ordered by the virtual clock.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use daisychute_core::{LoadReport, Role, Time};
use daisychute_policy::RequestPhase;

/// An event. `request` is an index in the trace and `endpoint_index` an index in the endpoints of the world. `epoch` is
/// that of the endpoint when the event was scheduled; if the endpoint has another one by now, the event is ignored.
#[derive(Debug, Clone, Copy)]
pub(super) enum Event {
    /// An entry starts routing a request, for the first time or again, by probing endpoints.
    Probe(usize),
    /// The probe results of a request have arrived, and its entry selects an endpoint.
    Select(usize),
    /// A request reaches the admission of an endpoint.
    Submit {
        request: usize,
        endpoint_index: usize,
        phase: RequestPhase,
        cached: u32,
    },
    /// A decode engine is selected again after a refusal. The KV cache transfer is timed from `source_endpoint`, the
    /// engine that prefilled the prompt.
    SelectDecode {
        request: usize,
        source_endpoint: usize,
    },
    StepEnd {
        endpoint_index: usize,
        epoch: u32,
    },
    CallEnd {
        endpoint_index: usize,
        request: usize,
        epoch: u32,
    },
    /// All endpoints send load reports.
    SendReports,
    /// A load report reaches the entries.
    DeliverReport {
        endpoint_index: usize,
        report: LoadReport,
    },
    PlanRoles,
    /// An agent receives a planned role change and starts to drain its engine.
    StartRoleChange {
        endpoint_index: usize,
        role: Role,
    },
    /// An engine is ready in its new role.
    RoleChanged {
        endpoint_index: usize,
        epoch: u32,
    },
    /// The entries learn the state of an endpoint.
    NotifyEntries(usize),
    EngineLost(usize),
    /// The admission queue of an endpoint is checked again.
    AdmissionTick {
        endpoint_index: usize,
    },
}

/// Events by time; events of the same time in the order in which they were pushed.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    events: BTreeMap<Reverse<(Time, u64)>, Event>,
    seq: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: Time, event: Event) {
        self.seq += 1;
        self.events.insert(Reverse((at, self.seq)), event);
    }

    pub(super) fn pop(&mut self) -> Option<(Time, Event)> {
        let (Reverse((at, _)), event) = self.events.pop_last()?;
        Some((at, event))
    }
}
