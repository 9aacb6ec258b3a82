//! State of one open request at the entry.

use std::collections::BTreeSet;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use daisychute_core::{EndpointName, Incarnation, ModelVersion, RequestId, Time};
use daisychute_link::LinkId;
use daisychute_proto::{Start, Work};

use super::{EntryConfig, Submission, split_character};

/// Phase of a request between its submission and its final response part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestState {
    /// An agent was selected, and the connection to it is being opened. Nothing was sent.
    Connecting,
    /// The request, or a request to resume it, was sent to the agent; no response head has arrived since.
    Sent,
    /// The response head arrived.
    Streaming,
    /// The connection was lost after the request was sent; it waits for the agent to reconnect.
    Resuming,
}

impl RequestState {
    /// Returns the name of the state in logs.
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

/// An open request at the entry: what was submitted, and the progress of its current run.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    pub(super) submission: Rc<Submission>,
    pub(super) state: RequestState,
    /// When the request was submitted.
    pub(super) arrived_at: Time,
    /// When the entry ends the request by itself: its deadline plus the grace period.
    pub(super) give_up_at: Time,
    /// When the current state times out.
    // Invariant: `(timer, id)` is in the core's timers.
    pub(super) timer: Time,
    /// Number of the current run, from 1.
    pub(super) attempt: u32,
    /// Number of agents that refused the request as overloaded.
    pub(super) overload_refusals: u32,
    /// Endpoint that the current run is assigned to.
    pub(super) endpoint: EndpointName,
    /// Incarnation of the agent when the current run was sent to it.
    // Invariant: `None` exactly while the state is `Connecting`.
    pub(super) sent_incarnation: Option<Incarnation>,
    /// Connection on which the current run was started; `None` if it wasn't.
    pub(super) started_on: Option<LinkId>,
    /// Whether an earlier run may have been executed, at least in part.
    pub(super) may_have_run: bool,
    /// Endpoints of earlier runs, which are not selected again.
    pub(super) tried: BTreeSet<EndpointName>,
    /// Response bytes received from the current run.
    pub(super) received: u64,
    /// Start of a character at the end of what the current run sent, which the client gets with the rest of it.
    // Invariant: empty for calls of plain services, shorter than one character otherwise.
    pub(super) split_character: Bytes,
    /// Response bytes of the current run that the client has read.
    // Invariant: client_read <= received.
    pub(super) client_read: u64,
    /// Output tokens received from the current run.
    pub(super) run_tokens: u32,
    /// Whether the agent was asked to resume the response and has not sent a head since.
    pub(super) resume_requested: bool,
    /// Bytes of earlier runs that the client hasn't read.
    pub(super) unread_of_earlier_runs: u64,
    /// Bytes that the client has read since the agent was last told a window.
    pub(super) read_since_credit: u64,
    /// Whether the client was sent a response head, by any run.
    pub(super) head_sent: bool,
    /// Model version that generates the response; `None` until an agent reports one.
    pub(super) version: Option<ModelVersion>,
    /// Text sent to the client by all runs. `None` if another run can't continue the response: the submission rules it
    /// out, or the text exceeded its size limit.
    pub(super) emitted: Option<BytesMut>,
    /// Output tokens sent to the client by all runs.
    pub(super) emitted_tokens: u32,
}

impl Request {
    pub(super) fn new(
        now: Time,
        submission: Submission,
        endpoint: EndpointName,
        cfg: &EntryConfig,
    ) -> Self {
        let give_up_at = now + submission.deadline + cfg.deadline_grace;
        let emitted = submission.continuable.then(BytesMut::new);
        Self {
            submission: Rc::new(submission),
            state: RequestState::Connecting,
            arrived_at: now,
            give_up_at,
            timer: give_up_at,
            attempt: 1,
            overload_refusals: 0,
            endpoint,
            sent_incarnation: None,
            started_on: None,
            may_have_run: false,
            tried: BTreeSet::new(),
            received: 0,
            split_character: Bytes::new(),
            client_read: 0,
            run_tokens: 0,
            resume_requested: false,
            unread_of_earlier_runs: 0,
            read_since_credit: 0,
            head_sent: false,
            version: None,
            emitted,
            emitted_tokens: 0,
        }
    }

    /// Returns the current state.
    #[must_use]
    pub const fn state(&self) -> RequestState {
        self.state
    }

    /// Returns the request as the client submitted it.
    #[must_use]
    pub fn submission(&self) -> &Submission {
        &self.submission
    }

    /// Whether the current run was not executed, given that its agent said on connection `link` that it leaves. An agent
    /// leaves once it has sent the outcome of every run that it took, but can't have repeated one that was lost with an
    /// earlier connection.
    pub(super) fn is_unstarted_at_goodbye(&self, link: LinkId) -> bool {
        match self.state {
            RequestState::Connecting => true,
            RequestState::Sent => self.started_on == Some(link),
            RequestState::Streaming | RequestState::Resuming => false,
        }
    }

    /// Whether any part of the response was sent to the client.
    pub(super) const fn response_started(&self) -> bool {
        self.head_sent
    }

    /// Records data of the current run, and stores up to `max_emitted_bytes` of text for a continuation. `run_tokens` is
    /// the cumulative output token count of the run at the end of `data`. Returns what the client gets now and the number
    /// of tokens in it; `None` if nothing, because the first character isn't complete.
    pub(super) fn record_output(
        &mut self,
        data: Bytes,
        run_tokens: u32,
        max_emitted_bytes: usize,
    ) -> Option<(Bytes, u32)> {
        self.received += data.len() as u64;
        let data = self.complete_characters(data);
        if data.is_empty() {
            return None;
        }
        let tokens = run_tokens.saturating_sub(self.run_tokens);
        self.run_tokens += tokens;
        self.emitted_tokens += tokens;
        self.store_emitted(&data, max_emitted_bytes);
        Some((data, tokens))
    }

    /// Prepends the start of a character that was held back to the text of a completion, and holds back the one at its
    /// end. Data of plain services is returned unchanged.
    fn complete_characters(&mut self, data: Bytes) -> Bytes {
        if !matches!(self.submission.work, Work::Completion(_)) {
            return data;
        }
        let mut text = match self.split_character.is_empty() {
            true => data,
            false => [&*self.split_character, &*data].concat().into(),
        };
        self.split_character = text.split_off(split_character::offset(&text));
        text
    }

    fn store_emitted(&mut self, data: &[u8], max_emitted_bytes: usize) {
        let Some(emitted) = &mut self.emitted else { return };
        if emitted.len() + data.len() > max_emitted_bytes {
            self.emitted = None;
        } else {
            emitted.extend_from_slice(data);
        }
    }

    /// Resets the progress for a new run. What was sent to the client stays recorded, so the run continues from there. A
    /// character that the client got no part of is generated again.
    pub(super) fn next_attempt(&mut self) {
        self.attempt += 1;
        self.sent_incarnation = None;
        self.started_on = None;
        self.unread_of_earlier_runs = self.unread();
        self.received = 0;
        self.split_character.clear();
        self.client_read = 0;
        self.run_tokens = 0;
        self.resume_requested = false;
    }

    /// Records that the client has read `bytes` more, the oldest first.
    pub(super) fn record_read(&mut self, bytes: u64) {
        let of_earlier_runs = bytes.min(self.unread_of_earlier_runs);
        self.unread_of_earlier_runs -= of_earlier_runs;
        self.client_read = (self.client_read + bytes - of_earlier_runs).min(self.received);
        self.read_since_credit += bytes;
    }

    /// Bytes of all runs that the client was sent and hasn't read.
    fn unread(&self) -> u64 {
        let sent = self.received - self.split_character.len() as u64;
        self.unread_of_earlier_runs + sent.saturating_sub(self.client_read)
    }

    /// The part of the window `max` that is free now, in bytes: what the agent may send beyond `received`. To be told to
    /// the agent.
    pub(super) fn take_window(&mut self, max: u32) -> u32 {
        self.read_since_credit = 0;
        u32::try_from(u64::from(max).saturating_sub(self.unread())).unwrap_or(max)
    }

    /// Builds the frame that starts the current run. The client's unread bytes of earlier runs take a part of `max_window`.
    pub(super) fn start(&mut self, now: Time, id: RequestId, max_window: u32) -> Start {
        let window = self.take_window(max_window);
        let submission = &self.submission;
        let elapsed = now.since(self.arrived_at);
        let first_token = submission.first_token.filter(|_| !self.response_started());
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
