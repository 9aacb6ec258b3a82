//! One request from its arrival to its final answer.

use std::fmt::Write;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use daisychute_dispatch::{
    Action, Event, Reason, RequestInfo, RequestKey, SendDecision, SendFailure,
};
use tokio::time::sleep_until;

use crate::Dialect;
use crate::client::connection::{ClientConnection, left};
use crate::client::incoming::Incoming;
use crate::client::response_writer::ResponseWriter;
use crate::endpoint::call::{Call, CallEnd, ErrorResponse};
use crate::shared::Shared;

/// What becomes of the connection after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum After {
    /// It may carry another request.
    Keep,
    /// It ends with this answer.
    End,
    /// It is cut: the caller has gone, or its answer isn't complete.
    Cut,
}

/// Serves one request.
pub(crate) async fn serve<D: Dialect>(
    shared: &Rc<Shared<D>>,
    connection: &mut ClientConnection,
    incoming: &Incoming,
) -> After {
    let key = shared.next_key();
    let started = Instant::now();
    let ClientConnection { stream, codec, buf } = connection;
    let (mut read, mut write) = stream.split();
    let mut response_writer = ResponseWriter::new(&mut write, codec);
    if shared.stop.requested() {
        response_writer.close();
    }
    let arrived = Event::arrived(key, incoming.info.clone());
    let first = shared.handle(arrived);
    let RequestInfo { host, path, .. } = &incoming.info;
    let (kind, config, deadline) = shared.view(|it| {
        // A request that was refused at once is forgotten by now.
        let route = it.route(key).or_else(|| it.table()?.find(host, path));
        let version = it.table().map_or(0, |table| table.version());
        (route.map_or("unrouted", |route| route.kind.as_str()), version, it.deadline(key))
    });
    let (error_response, attempt_log) = (None, String::new());
    let (predicted, wait) = (Duration::ZERO, Duration::ZERO);
    let mut exchange = Exchange {
        shared,
        key,
        incoming,
        response_writer,
        error_response,
        started,
        attempt_log,
        predicted,
        wait,
        kind,
        config,
    };
    let deadline = deadline.map(|it| shared.instant(it));
    let ended = tokio::select! {
        biased;
        after = exchange.run(first) => Ok(after),
        () = left(&mut read, buf) => Err(Event::ClientDisconnected { key }),
        () = sleep_until(deadline.unwrap_or(started + LONGEST).into()) => Err(Event::Expired { key }),
    };
    let after = match ended {
        Ok(after) => after,
        Err(event) => exchange.interrupted(event).await,
    };
    if after == After::Keep && !codec.keep_alive() { After::End } else { after }
}

/// A request that has no deadline ends after this time.
const LONGEST: Duration = Duration::from_secs(600);

struct Exchange<'a, 'c, D> {
    shared: &'a Rc<Shared<D>>,
    key: RequestKey,
    incoming: &'a Incoming,
    response_writer: ResponseWriter<'c>,
    /// A whole answer that is a failure, and may be passed on.
    error_response: Option<ErrorResponse>,
    started: Instant,
    /// The sends so far and how each came to nothing, for the last line of a request that failed.
    attempt_log: String,
    /// The predicted time for which it was refused, and the wait in it.
    predicted: Duration,
    wait: Duration,
    /// What kind of request it is, once its route is known.
    kind: &'static str,
    /// The version of the configuration by which it is handled.
    config: u64,
}

impl<D: Dialect> Exchange<'_, '_, D> {
    /// Does what the dispatcher says until the request has its final answer.
    async fn run(&mut self, first: Option<Action>) -> After {
        let mut action = first;
        loop {
            action = match action {
                Some(Action::Send { decision, .. }) => match self.send(&decision).await {
                    CallEnd::Finished => {
                        self.shared.handle(Event::Finished { key: self.key });
                        self.note("answered", "", None);
                        return After::Keep;
                    }
                    CallEnd::ClientDisconnected => {
                        self.shared.handle(Event::ClientDisconnected { key: self.key });
                        self.note("left", "", None);
                        return After::Cut;
                    }
                    CallEnd::Prefilled(handle) => {
                        self.shared.handle(Event::Prefilled { key: self.key, handle })
                    }
                    CallEnd::Failed(failure, error_response) => {
                        self.note_send_failure(&decision, failure);
                        self.error_response = error_response;
                        self.shared.handle(Event::SendFailed { key: self.key, failure })
                    }
                },
                Some(last) => return self.finish(last).await,
                None => return After::Cut,
            }
        }
    }

    async fn send(&mut self, decision: &SendDecision) -> CallEnd {
        self.note_send(decision);
        let call = Call {
            shared: self.shared,
            key: self.key,
            incoming: self.incoming,
            decision,
            response_writer: &mut self.response_writer,
        };
        call.run().await
    }

    /// The caller has gone or the time is up; the send under way has been dropped.
    async fn interrupted(&mut self, event: Event) -> After {
        let gone = matches!(event, Event::ClientDisconnected { .. });
        let action = self.shared.handle(event);
        match action {
            _ if gone => {
                self.note("left", "", None);
                After::Cut
            }
            Some(last) => self.finish(last).await,
            None => After::Cut,
        }
    }

    /// Gives the final answer.
    async fn finish(&mut self, last: Action) -> After {
        if self.response_writer.head_passed() {
            self.note("cut", reason_of(&last).map_or("", Reason::as_str), None);
            return After::Cut;
        }
        let written = match last {
            Action::Refuse { reason, retry_after, predicted, wait, .. } => {
                (self.predicted, self.wait) = (predicted, wait);
                self.note("refused", reason.as_str(), retry_after);
                let status = StatusCode::SERVICE_UNAVAILABLE;
                self.response_writer.own(status, reason.as_str(), retry_after).await
            }
            Action::Fail { reason, .. } => {
                self.note("failed", reason.as_str(), None);
                self.response_writer.own(status_of(reason), reason.as_str(), None).await
            }
            Action::RelayErrorResponse { .. } => {
                self.note("relayed", "", None);
                let Some(ErrorResponse { head, body }) = self.error_response.take() else {
                    return After::Cut;
                };
                self.response_writer.whole(&head, &body).await
            }
            _ => return After::Cut,
        };
        if written.is_ok() { After::Keep } else { After::Cut }
    }

    fn note_send(&mut self, decision: &SendDecision) {
        let SendDecision {
            name,
            task,
            previous_sends,
            predicted,
            wait,
            uncached_tokens,
            fetch_from,
            candidates,
            ..
        } = decision;
        let (task, predicted_ms, wait_ms) =
            (task.as_str(), predicted.as_millis(), wait.as_millis());
        // Writing to a string can't fail.
        let _ = write!(self.attempt_log, "{task} at {name} after {} ms; ", self.elapsed_ms());
        let request = &self.incoming.info.id;
        let load_age_ms = decision.load_age.map(|it| it.as_millis());
        log::info!(
            request:%, endpoint:% = name, task, sends = previous_sends, predicted_ms, wait_ms,
            unread = uncached_tokens, fetch_from:?, among = candidates, load_age_ms:?;
            "sent"
        );
    }

    fn note_send_failure(&mut self, decision: &SendDecision, failure: SendFailure) {
        let _ = write!(self.attempt_log, "{failure:?} after {} ms; ", self.elapsed_ms());
        let (request, endpoint, task) =
            (&self.incoming.info.id, &decision.name, decision.task.as_str());
        log::warn!(request:%, endpoint:%, task, how:? = failure; "send failed");
        metrics::counter!("daisychute_sends_failed_total", "how" => failure.as_str()).increment(1);
    }

    fn elapsed_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    /// The last line of a request.
    fn note(&self, outcome: &'static str, reason: &'static str, retry_after: Option<Duration>) {
        count(outcome, reason);
        let kind = self.kind;
        metrics::histogram!("daisychute_request_seconds", "kind" => kind, "outcome" => outcome)
            .record(self.started.elapsed());
        let (request, elapsed_ms) = (&self.incoming.info.id, self.elapsed_ms());
        let pace = self.response_writer.pace();
        let first_ms = pace.first.map(|it| it.duration_since(self.started).as_millis());
        let pause_ms = pace.longest_pause.as_millis();
        if outcome == "answered" {
            log::info!(request:%, outcome, kind, elapsed_ms, first_ms:?, pause_ms; "request ended");
            return;
        }
        let (config, path, attempt_log) =
            (self.config, &self.incoming.info.path, &self.attempt_log);
        let (predicted_ms, wait_ms) = (self.predicted.as_millis(), self.wait.as_millis());
        let retry_after_ms = retry_after.map(|it| it.as_millis());
        log::warn!(
            request:%, outcome, reason, kind, path:%, config, predicted_ms, wait_ms, retry_after_ms:?, elapsed_ms,
            first_ms:?, pause_ms, trail = attempt_log;
            "request ended"
        );
    }
}

/// Counts a request that has its final answer.
pub(crate) fn count(outcome: &'static str, reason: &'static str) {
    metrics::counter!("daisychute_front_requests_total", "outcome" => outcome, "reason" => reason)
        .increment(1);
}

const fn reason_of(action: &Action) -> Option<Reason> {
    match action {
        Action::Refuse { reason, .. } | Action::Fail { reason, .. } => Some(*reason),
        _ => None,
    }
}

const fn status_of(reason: Reason) -> StatusCode {
    match reason {
        Reason::NoRoute => StatusCode::NOT_FOUND,
        Reason::NoId => StatusCode::BAD_REQUEST,
        Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}
