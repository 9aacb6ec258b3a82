//! One request at the entry.

use std::collections::BTreeSet;
use std::rc::Rc;

use bytes::BytesMut;
use daisychute_core::{EndpointName, Incarnation, ModelVersion, RequestId, Time};
use daisychute_proto::{Start, Work};

use super::{EntryConfig, Submission};

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestState {
    /// An agent was chosen, and the connection to it is being opened. Nothing was sent.
    Connecting,
    /// It was sent to an agent.
    Sent,
    /// The answer has begun.
    Streaming,
    /// The connection was lost after it was sent.
    Resuming,
}

impl RequestState {
    /// Its name in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Connecting => "connecting",
            Self::Sent => "sent",
            Self::Streaming => "streaming",
            Self::Resuming => "resuming",
        }
    }
}

/// One request at the entry.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    pub(super) submission: Rc<Submission>,
    pub(super) state: RequestState,
    /// When it arrived.
    pub(super) arrived: Time,
    /// When it is given up here.
    pub(super) give_up: Time,
    /// When the present state has lasted too long.
    // Invariant: `(timer, id)` is in the core's timers.
    pub(super) timer: Time,
    /// Counts its runs.
    pub(super) attempt: u32,
    /// Agents that refused it as overloaded.
    pub(super) overloads: u32,
    /// The agent that has it.
    pub(super) agent: EndpointName,
    /// The incarnation of that agent when it was sent.
    // Invariant: none exactly while the state is `Connecting`.
    pub(super) sent_to: Option<Incarnation>,
    /// Whether an earlier run may have done something.
    pub(super) maybe_ran: bool,
    /// Agents that it is not offered to again.
    pub(super) tried: BTreeSet<EndpointName>,
    /// Bytes of the present run's answer.
    pub(super) received: u64,
    /// Bytes of the present run's answer that the caller has taken.
    // Invariant: taken <= received.
    pub(super) taken: u64,
    /// Output tokens of the present run.
    pub(super) run_tokens: u32,
    /// Whether the agent was asked for what is missing and has not begun to send it.
    pub(super) resume_asked: bool,
    /// What the agent was last told of `taken`.
    pub(super) credited: u64,
    /// Whether the caller was given the head of an answer.
    pub(super) head_given: bool,
    /// The version of the model that answers.
    pub(super) version: Option<ModelVersion>,
    /// The text that the caller was given, over all runs; none where it can't be continued.
    pub(super) emitted: Option<BytesMut>,
    /// Output tokens given to the caller, over all runs.
    pub(super) emitted_tokens: u32,
}

impl Request {
    pub(super) fn new(
        now: Time,
        submission: Submission,
        agent: EndpointName,
        cfg: &EntryConfig,
    ) -> Self {
        let give_up = now + submission.deadline + cfg.deadline_grace;
        let emitted = submission.continuable.then(BytesMut::new);
        Self {
            submission: Rc::new(submission),
            state: RequestState::Connecting,
            arrived: now,
            give_up,
            timer: give_up,
            attempt: 1,
            overloads: 0,
            agent,
            sent_to: None,
            maybe_ran: false,
            tried: BTreeSet::new(),
            received: 0,
            taken: 0,
            run_tokens: 0,
            resume_asked: false,
            credited: 0,
            head_given: false,
            version: None,
            emitted,
            emitted_tokens: 0,
        }
    }

    /// Where it is.
    #[must_use]
    pub const fn state(&self) -> RequestState {
        self.state
    }

    /// The request as its caller made it.
    #[must_use]
    pub fn submission(&self) -> &Submission {
        &self.submission
    }

    /// Whether the caller was given any of the answer.
    pub(super) const fn has_emitted(&self) -> bool {
        self.head_given
    }

    /// Remembers what the caller is given, up to `most` bytes; `run_tokens` counts the output tokens of the run up to
    /// the end of it. Returns the output tokens in it.
    pub(super) fn emit(&mut self, data: &[u8], run_tokens: u32, most: usize) -> u32 {
        let tokens = run_tokens.saturating_sub(self.run_tokens);
        self.run_tokens += tokens;
        self.received += data.len() as u64;
        self.emitted_tokens += tokens;
        self.remember(data, most);
        tokens
    }

    fn remember(&mut self, data: &[u8], most: usize) {
        let Some(emitted) = &mut self.emitted else { return };
        if emitted.len() + data.len() > most {
            self.emitted = None;
        } else {
            emitted.extend_from_slice(data);
        }
    }

    /// Makes the next run begin from what the caller has.
    pub(super) fn next_attempt(&mut self) {
        self.attempt += 1;
        self.sent_to = None;
        self.received = 0;
        self.taken = 0;
        self.run_tokens = 0;
        self.resume_asked = false;
        self.credited = 0;
    }

    /// The frame that starts the present run.
    pub(super) fn start(&self, now: Time, id: RequestId, window: u32) -> Start {
        let submission = &self.submission;
        let elapsed = now.since(self.arrived);
        let first_token = submission.first_token.filter(|_| !self.has_emitted());
        Start {
            id,
            attempt: self.attempt,
            tenant: submission.tenant.clone(),
            class: submission.class.clone(),
            precedence: submission.precedence,
            deadline: submission.deadline.saturating_sub(elapsed),
            first_token: first_token.map(|it| it.saturating_sub(elapsed)),
            between_tokens: submission.between_tokens,
            window,
            work: self.work(),
        }
    }

    fn work(&self) -> Work {
        let mut work = self.submission.work.clone();
        if let (Work::Completion(completion), Some(emitted)) = (&mut work, &self.emitted) {
            completion.emitted = String::from_utf8_lossy(emitted).into_owned();
            completion.emitted_tokens = self.emitted_tokens;
            completion.version = self.version.clone().filter(|_| !emitted.is_empty());
        }
        work
    }
}
