//! How the agent decides which request runs when.

use std::collections::VecDeque;

use daisychute_core::{LoadReport, Refusal, RequestId, Role, Time};
use daisychute_proto::Start;

/// Decides which request runs when on one endpoint.
pub trait AdmissionPolicy {
    /// A request has arrived. It waits from now on, unless it is refused at once.
    ///
    /// # Errors
    ///
    /// The refusal, if the target of its class can't be met.
    fn submit(&mut self, now: Time, start: &Start) -> Result<(), Refusal>;

    /// The request that must be handed to the endpoint now, if one must be.
    fn next(&mut self, now: Time) -> Option<RequestId>;

    /// A request that must be refused now, because it waited too long.
    fn refuse(&mut self, now: Time) -> Option<(RequestId, Refusal)>;

    /// A request that waited is not wanted any more.
    fn withdraw(&mut self, now: Time, id: RequestId);

    /// A running request has made an output token, its first or a further one.
    fn progress(&mut self, now: Time, id: RequestId, first: bool);

    /// A running request has left the endpoint, answered whole or not.
    fn ended(&mut self, now: Time, id: RequestId, whole: bool);

    /// The present load.
    fn load(&self, now: Time) -> LoadReport;

    /// When [`AdmissionPolicy::refuse`] or [`AdmissionPolicy::next`] may have something new without any further call.
    fn wake_at(&self) -> Option<Time>;

    /// The endpoint was replaced, restarted or changed; an engine has this role now.
    fn endpoint_replaced(&mut self, role: Option<Role>);
}

/// First in, first out, with a bound on how many run.
#[derive(Debug, Clone)]
pub struct Fifo {
    max_running: usize,
    waiting: VecDeque<RequestId>,
    running: usize,
}

impl Fifo {
    /// Runs at most `max_running` requests at a time.
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

    fn refuse(&mut self, _now: Time) -> Option<(RequestId, Refusal)> {
        None
    }

    fn withdraw(&mut self, _now: Time, id: RequestId) {
        self.waiting.retain(|it| *it != id);
    }

    fn progress(&mut self, _now: Time, _id: RequestId, _first: bool) {}

    fn ended(&mut self, _now: Time, _id: RequestId, _whole: bool) {
        self.running = self.running.saturating_sub(1);
    }

    fn load(&self, _now: Time) -> LoadReport {
        let count = |it: usize| u32::try_from(it).unwrap_or(u32::MAX);
        LoadReport {
            queued: count(self.waiting.len()),
            running: count(self.running),
            ..LoadReport::default()
        }
    }

    fn wake_at(&self) -> Option<Time> {
        None
    }

    fn endpoint_replaced(&mut self, _role: Option<Role>) {}
}
