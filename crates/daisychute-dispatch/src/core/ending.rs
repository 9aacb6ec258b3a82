//! How requests end: retries, refusals and failures.

use std::time::Duration;

use daisychute_core::Time;

use crate::core::attempt::{Attempt, KvHandle, Sent};
use crate::{Action, Dispatcher, Reason, RequestKey, SendFailure, Task};

/// Sends that never left their front are repeated so often.
const MOST_UNSENT: u32 = 3;
/// A caller that leaves after so many times its objective has waited for an endpoint that shows nothing.
const IMPATIENCE: u32 = 3;

impl Dispatcher {
    pub(crate) fn send_failed(
        &mut self,
        now: Time,
        key: RequestKey,
        failure: SendFailure,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.requests.get_mut(&key) else { return };
        let Some(sent) = attempt.current.take() else { return };
        let counts = failure != SendFailure::Unsent;
        if counts {
            attempt.sends += 1;
        } else {
            attempt.unsent += 1;
        }
        let ran = !matches!(failure, SendFailure::Unsent | SendFailure::NotRun { .. });
        let prompt_only = sent.task == Task::Prefill;
        attempt.may_have_run |= ran && !prompt_only;
        // Whether the KV cache was fetched isn't known: the next send reads the prompt again.
        let spent = counts && matches!(sent.task, Task::Decode { .. });
        if let Some(KvHandle { address, handle, .. }) = attempt.handle.take_if(|_| spent) {
            actions.push(Action::ReleaseKvCache { address, handle });
        }
        self.release_work(key, &sent);
        self.note_failure(now, &sent, failure);
        self.retry(now, key, failure, actions);
    }

    fn note_failure(&mut self, now: Time, sent: &Sent, failure: SendFailure) {
        let Some(known) = self.fleet.known_mut(sent.endpoint) else { return };
        match failure {
            SendFailure::Unsent => known.health.unreachable(now),
            SendFailure::NotRun { misdirected: true } => known.misdirected = true,
            SendFailure::NotRun { misdirected: false } => {}
            SendFailure::NoAnswer | SendFailure::MidAnswer { .. } | SendFailure::ServerError => {
                known.health.failed(now);
            }
        }
    }

    fn retry(
        &mut self,
        now: Time,
        key: RequestKey,
        failure: SendFailure,
        actions: &mut Vec<Action>,
    ) {
        let reason = match failure {
            SendFailure::Unsent => Reason::Unreachable,
            SendFailure::NotRun { .. } => Reason::Rejected,
            SendFailure::NoAnswer | SendFailure::MidAnswer { .. } | SendFailure::ServerError => {
                Reason::Broken
            }
        };
        if self.may_send_again(now, key, failure) {
            self.place(now, key, reason, actions);
        } else {
            self.give_up_after(key, failure, reason, actions);
        }
    }

    fn may_send_again(&mut self, now: Time, key: RequestKey, failure: SendFailure) -> bool {
        let fronts = self.fronts;
        let Some(attempt) = self.requests.get(&key) else { return false };
        if now >= attempt.deadline {
            return false;
        }
        if failure == SendFailure::Unsent && attempt.sends == 0 {
            return attempt.unsent <= MOST_UNSENT;
        }
        let safe = !attempt.may_have_run || attempt.route.kind.repeatable();
        let service = attempt.service.clone();
        safe && attempt.sends < attempt.route.max_sends && self.budget(&service).allows(now, fronts)
    }

    fn give_up_after(
        &mut self,
        key: RequestKey,
        failure: SendFailure,
        reason: Reason,
        actions: &mut Vec<Action>,
    ) {
        if failure == SendFailure::ServerError {
            actions.push(Action::RelayErrorResponse { key });
            self.end(key, actions);
            return;
        }
        self.give_up(key, reason, actions);
    }

    /// Refuses a request that can't be served in time.
    pub(crate) fn refuse(
        &mut self,
        key: RequestKey,
        predicted: Duration,
        wait: Duration,
        retry_after: Duration,
        actions: &mut Vec<Action>,
    ) {
        let retry_after = Some(retry_after);
        let reason = Reason::Overload;
        actions.push(Action::Refuse { key, reason, predicted, wait, retry_after });
        self.end(key, actions);
    }

    /// Ends a request with a final answer of our own.
    pub(crate) fn give_up(&mut self, key: RequestKey, reason: Reason, actions: &mut Vec<Action>) {
        let Some(attempt) = self.requests.get(&key) else { return };
        if attempt.may_have_run {
            actions.push(Action::Fail { key, reason });
        } else {
            let retry_after = Some(Self::RETRY_AFTER);
            actions.push(Action::refused(key, reason, retry_after));
        }
        self.end(key, actions);
    }

    pub(crate) fn finished(&mut self, now: Time, key: RequestKey, actions: &mut Vec<Action>) {
        if let Some(attempt) = self.requests.get(&key)
            && let Some(sent) = &attempt.current
        {
            let held = now.since(sent.at);
            if let Some(known) = self.fleet.known_mut(sent.endpoint) {
                known.health.succeeded();
            }
            if let Some(model) = self.models.get_mut(&attempt.service) {
                model.held(held);
            }
        }
        self.end(key, actions);
    }

    /// The caller has gone.
    pub(crate) fn left(&mut self, now: Time, key: RequestKey, actions: &mut Vec<Action>) {
        let waited = |it: &Attempt| now.since(it.arrived) > it.route.objective * IMPATIENCE;
        if self.requests.get(&key).is_some_and(waited) {
            self.note_silence(now, key);
        }
        self.end(key, actions);
    }

    /// An endpoint that showed nothing until the end of a request's time has failed it.
    fn note_silence(&mut self, now: Time, key: RequestKey) {
        let Some(attempt) = self.requests.get(&key).filter(|it| !it.first_output) else { return };
        let endpoint = attempt.current.as_ref().map(|it| it.endpoint);
        if let Some(known) = endpoint.and_then(|it| self.fleet.known_mut(it)) {
            known.health.failed(now);
        }
    }

    pub(crate) fn expired(&mut self, now: Time, key: RequestKey, actions: &mut Vec<Action>) {
        let Some(attempt) = self.requests.get_mut(&key) else { return };
        let running = attempt.current.as_ref().is_some_and(|it| it.task != Task::Prefill);
        attempt.may_have_run |= running;
        self.note_silence(now, key);
        self.give_up(key, Reason::Deadline, actions);
    }

    /// Forgets a request and frees what it holds.
    pub(crate) fn end(&mut self, key: RequestKey, actions: &mut Vec<Action>) {
        let Some(attempt) = self.requests.remove(&key) else { return };
        if let Some(sent) = &attempt.current {
            self.release_work(key, sent);
        }
        if let Some(KvHandle { address, handle, .. }) = attempt.handle {
            actions.push(Action::ReleaseKvCache { address, handle });
        }
    }
}
