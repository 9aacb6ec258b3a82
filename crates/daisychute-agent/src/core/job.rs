//! One request at the agent.

use std::rc::Rc;
use std::time::Duration;

use daisychute_core::{FinishReason, Refusal, Time, Usage};
use daisychute_link::LinkId;
use daisychute_proto::{End, Frame, Head, Refused, Start};

use super::AnswerBuffer;

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// It waits for its turn.
    Queued,
    /// The endpoint has it.
    Running,
    /// Its outcome is settled and on its way to the entry.
    Ended,
}

/// How a request ended at the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ending {
    Whole { finish: Option<FinishReason>, usage: Usage },
    Refused(Refusal),
}

/// One request at the agent.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    pub(super) start: Rc<Start>,
    /// The connection that its answer goes to; none while the entry has to come back for it.
    pub(super) link: Option<LinkId>,
    pub(super) state: JobState,
    /// When its class gives it up.
    deadline: Time,
    /// When it is forgotten because nobody asks for it.
    pub(super) give_up: Time,
    /// The sooner of the two; only `give_up` once it has ended.
    // Invariant: `(timer, id)` is in the core's timers.
    pub(super) timer: Time,
    pub(super) head: Option<Head>,
    pub(super) head_sent: bool,
    pub(super) buffer: AnswerBuffer,
    // Invariant: set exactly while the state is `Ended`.
    pub(super) ending: Option<Ending>,
    pub(super) ending_sent: bool,
    /// Times that a broken answer was resumed.
    pub(super) resumed: u32,
}

impl Job {
    pub(super) fn new(now: Time, start: Start, link: LinkId) -> Self {
        let deadline = now + start.deadline;
        Self {
            link: Some(link),
            state: JobState::Queued,
            deadline,
            give_up: Time::MAX,
            timer: deadline,
            head: None,
            head_sent: false,
            buffer: AnswerBuffer::new(start.window),
            ending: None,
            ending_sent: false,
            resumed: 0,
            start: Rc::new(start),
        }
    }

    /// Where it is.
    #[must_use]
    pub const fn state(&self) -> JobState {
        self.state
    }

    /// The request.
    #[must_use]
    pub fn start(&self) -> &Start {
        &self.start
    }

    /// The request, shared.
    #[must_use]
    pub fn shared_start(&self) -> Rc<Start> {
        self.start.clone()
    }

    /// The entry has come back for the answer on this connection, and gets everything that it lacks.
    pub(super) fn attach(&mut self, now: Time, link: LinkId, retention: Duration) {
        self.link = Some(link);
        self.head_sent = false;
        self.ending_sent = false;
        self.give_up = if self.state == JobState::Ended { now + retention } else { Time::MAX };
    }

    pub(super) fn reset_timer(&mut self) {
        self.timer = match self.state {
            JobState::Queued | JobState::Running => self.deadline.min(self.give_up),
            JobState::Ended => self.give_up,
        };
    }

    /// The next frame that the entry is owed and may be sent now.
    pub(super) fn next_frame(&mut self, chunk_bytes: usize) -> Option<Frame> {
        let (id, attempt) = (self.start.id, self.start.attempt);
        if let Some(head) = self.head.as_ref().filter(|_| !self.head_sent) {
            self.head_sent = true;
            return Some(head.clone().into());
        }
        if let Some((offset, tokens, data)) = self.buffer.take(chunk_bytes) {
            return Some(daisychute_proto::Chunk { id, attempt, offset, tokens, data }.into());
        }
        if self.ending_sent {
            return None;
        }
        let frame = match self.ending? {
            Ending::Refused(refusal) => Refused { id, attempt, refusal }.into(),
            Ending::Whole { .. } if !self.buffer.all_sent() => return None,
            Ending::Whole { finish, usage } => {
                End { id, attempt, length: self.buffer.length(), finish, usage }.into()
            }
        };
        self.ending_sent = true;
        Some(frame)
    }

    /// Whether the entry has acknowledged the whole outcome.
    pub(super) fn is_delivered(&self, received: u64) -> bool {
        match self.ending {
            Some(Ending::Whole { .. }) => self.ending_sent && received == self.buffer.length(),
            Some(Ending::Refused(_)) => self.ending_sent,
            None => false,
        }
    }
}
