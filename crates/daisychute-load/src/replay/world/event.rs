//! What happens in a replay, in the order of the virtual clock.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use daisychute_core::{LoadReport, Role, Time};
use daisychute_policy::RequestPhase;

/// What happens. Flights and endpoints are named by their places.
#[derive(Debug, Clone, Copy)]
pub(super) enum Event {
    Route(usize),
    Choose(usize),
    Offer { flight: usize, place: usize, phase: RequestPhase, cached: u32 },
    Decode { flight: usize, data_centre_of: usize },
    Step { place: usize, epoch: u32 },
    CallDone { place: usize, flight: usize, epoch: u32 },
    Reports,
    Deliver { place: usize, report: LoadReport },
    Plan,
    Change { place: usize, role: Role },
    Changed { place: usize, epoch: u32 },
    News(usize),
    Lost(usize),
    Tick { place: usize },
}

/// Events by time, and by the order in which they were pushed.
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
