//! A request at the agent, from admission until its outcome is delivered.

use std::rc::Rc;
use std::time::Duration;

use daisychute_core::{FinishReason, Refusal, Time, Usage};
use daisychute_link::LinkId;
use daisychute_proto::{End, Frame, Head, Refused, Start};

use super::ResponseBuffer;

/// State of a request at the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// It waits in the admission queue.
    Queued,
    /// It was passed to the endpoint.
    Running,
    /// Its outcome is final and is being delivered to the entry.
    Ended,
}

/// The final outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ending {
    Complete { finish: Option<FinishReason>, usage: Usage },
    Refused(Refusal),
}

/// A request at the agent, from admission until its outcome is delivered.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    pub(super) start: Rc<Start>,
    /// The connection that receives the response. `None` after that connection was lost, until an entry resumes the
    /// request.
    pub(super) link: Option<LinkId>,
    pub(super) state: JobState,
    /// When it is refused because its deadline has passed.
    pub(super) deadline: Time,
    /// When it is cancelled and removed unless an entry resumes or acknowledges it. `Time::MAX` while it runs with a
    /// connection.
    pub(super) abandon_at: Time,
    /// The earlier of `deadline` and `abandon_at`; `abandon_at` once it has ended.
    // Invariant: `(timer, id)` is in the core's timers.
    pub(super) timer: Time,
    pub(super) head: Option<Head>,
    pub(super) head_sent: bool,
    pub(super) buffer: ResponseBuffer,
    // Invariant: set exactly while the state is `Ended`.
    pub(super) ending: Option<Ending>,
    pub(super) ending_sent: bool,
    /// How often a truncated response was resumed.
    pub(super) resume_count: u32,
}

impl Job {
    pub(super) fn new(now: Time, start: Start, link: LinkId) -> Self {
        let deadline = now + start.deadline;
        Self {
            link: Some(link),
            state: JobState::Queued,
            deadline,
            abandon_at: Time::MAX,
            timer: deadline,
            head: None,
            head_sent: false,
            buffer: ResponseBuffer::new(start.window),
            ending: None,
            ending_sent: false,
            resume_count: 0,
            start: Rc::new(start),
        }
    }

    /// Its current state.
    #[must_use]
    pub const fn state(&self) -> JobState {
        self.state
    }

    /// The start frame that the entry sent.
    #[must_use]
    pub fn start(&self) -> &Start {
        &self.start
    }

    /// The start frame, shared without copying the payload.
    #[must_use]
    pub fn shared_start(&self) -> Rc<Start> {
        self.start.clone()
    }

    /// Resumes delivery on this connection, from the head on.
    pub(super) fn attach(&mut self, now: Time, link: LinkId, retention: Duration) {
        self.link = Some(link);
        self.head_sent = false;
        self.ending_sent = false;
        self.abandon_at = if self.state == JobState::Ended { now + retention } else { Time::MAX };
    }

    pub(super) fn reset_timer(&mut self) {
        self.timer = match self.state {
            JobState::Queued | JobState::Running => self.deadline.min(self.abandon_at),
            JobState::Ended => self.abandon_at,
        };
    }

    /// The next frame that is due to the entry and fits its credit window.
    pub(super) fn next_frame(&mut self, max_chunk_bytes: usize) -> Option<Frame> {
        let (id, attempt) = (self.start.id, self.start.attempt);
        if let Some(head) = self.head.as_ref().filter(|_| !self.head_sent) {
            self.head_sent = true;
            return Some(head.clone().into());
        }
        if let Some((offset, tokens, data)) = self.buffer.take(max_chunk_bytes) {
            return Some(daisychute_proto::Chunk { id, attempt, offset, tokens, data }.into());
        }
        if self.ending_sent {
            return None;
        }
        let frame = match self.ending? {
            Ending::Refused(refusal) => Refused { id, attempt, refusal }.into(),
            Ending::Complete { .. } if !self.buffer.all_sent() => return None,
            Ending::Complete { finish, usage } => {
                End { id, attempt, length: self.buffer.length(), finish, usage }.into()
            }
        };
        self.ending_sent = true;
        Some(frame)
    }

    /// Whether the entry needs nothing more: it acknowledged the complete response, or was sent the refusal.
    pub(super) fn is_delivered(&self, received: u64) -> bool {
        match self.ending {
            Some(Ending::Complete { .. }) => self.ending_sent && received == self.buffer.length(),
            Some(Ending::Refused(_)) => self.ending_sent,
            None => false,
        }
    }
}
