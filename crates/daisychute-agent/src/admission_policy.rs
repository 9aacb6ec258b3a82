//! The admission policy of the agent: the order in which queued requests run.

use std::collections::VecDeque;

use daisychute_core::{LoadReport, Refusal, RequestId, Role, Time};
use daisychute_proto::Start;

/// Decides when each queued request of one endpoint runs.
pub trait AdmissionPolicy {
    /// Queues a request that has arrived, or refuses it at once.
    ///
    /// # Errors
    ///
    /// A refusal if the latency objective of the request's class can't be met.
    fn submit(&mut self, now: Time, start: &Start) -> Result<(), Refusal>;

    /// Removes the next request to run from the queue, if one may run now.
    fn next(&mut self, now: Time) -> Option<RequestId>;

    /// Removes a request that was queued for too long, with its refusal. `None` if there is none.
    fn next_refusal(&mut self, now: Time) -> Option<(RequestId, Refusal)>;

    /// Removes a queued request that was cancelled or refused, or whose deadline has passed.
    fn withdraw(&mut self, now: Time, id: RequestId);

    /// Records that a running request produced output tokens; `first` marks the first of them.
    fn progress(&mut self, now: Time, id: RequestId, first: bool);

    /// Records that a running request has ended; `completed` says whether its response is complete.
    fn ended(&mut self, now: Time, id: RequestId, completed: bool);

    /// The current load, for heartbeats and probes.
    fn load(&self, now: Time) -> LoadReport;

    /// When to call [`AdmissionPolicy::next_refusal`] and [`AdmissionPolicy::next`] again if nothing else happens
    /// first. `None` if time alone changes nothing.
    fn wake_at(&self) -> Option<Time>;

    /// Resets what was learned about the endpoint after a restart, replacement or reconfiguration. `role` is the
    /// present role of an engine, `None` for a service or while it is unknown.
    fn endpoint_replaced(&mut self, role: Option<Role>);
}

/// A first-in, first-out queue with a limit on running requests.
#[derive(Debug, Clone)]
pub struct Fifo {
    max_running: usize,
    waiting: VecDeque<RequestId>,
    running: usize,
}

impl Fifo {
    /// An empty queue that runs at most `max_running` requests at a time.
    #[must_use]
    pub const fn new(max_running: usize) -> Self {
        Self { max_running, waiting: VecDeque::new(), running: 0 }
    }
}

impl AdmissionPolicy for Fifo {
    fn submit(&mut self, _now: Time, start: &Start) -> Result<(), Refusal> {
        self.waiting.push_back(start.id);
        Ok(())
    }

    fn next(&mut self, _now: Time) -> Option<RequestId> {
        if self.running >= self.max_running {
            return None;
        }
        let id = self.waiting.pop_front()?;
        self.running += 1;
        Some(id)
    }

    fn next_refusal(&mut self, _now: Time) -> Option<(RequestId, Refusal)> {
        None
    }

    fn withdraw(&mut self, _now: Time, id: RequestId) {
        self.waiting.retain(|it| *it != id);
    }

    fn progress(&mut self, _now: Time, _id: RequestId, _first: bool) {}

    fn ended(&mut self, _now: Time, _id: RequestId, _completed: bool) {
        self.running = self.running.saturating_sub(1);
    }

    fn load(&self, _now: Time) -> LoadReport {
        let saturating = |it: usize| u32::try_from(it).unwrap_or(u32::MAX);
        LoadReport {
            queued: saturating(self.waiting.len()),
            running: saturating(self.running),
            ..LoadReport::default()
        }
    }

    fn wake_at(&self) -> Option<Time> {
        None
    }

    fn endpoint_replaced(&mut self, _role: Option<Role>) {}
}
