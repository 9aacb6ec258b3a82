//! Serves one request from its arrival to its final response.

use std::fmt::Write;
use std::mem::replace;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::{StatusCode, Version};
use daisychute_core::SoftwareVersion;
use daisychute_dispatch::{
    Action, Cause, Event, Reason, RequestInfo, RequestKey, RequestKind, SendDecision, SendFailure,
};
use tokio::task::coop::unconstrained;
use tokio::time::{sleep_until, timeout};

use crate::client::connection::{ClientConnection, client_disconnected};
use crate::client::incoming::Incoming;
use crate::client::response_writer::ResponseWriter;
use crate::endpoint::body_end::BodyEnd;
use crate::endpoint::call::{Call, CallEnd, ErrorResponse};
use crate::pacing::ProcessorTime;
use crate::state::{FrontState, part_key};
use crate::{Dialect, EventSequence};

/// What happens to the client's connection after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionOutcome {
    /// It may carry another request.
    KeepAlive,
    /// It is closed after this response.
    Close,
    /// It is dropped at once: the client has disconnected, or its response is incomplete.
    Abort,
}

/// Serves one request and returns what happens to its connection.
pub(crate) async fn serve<D: Dialect>(
    state: &Rc<FrontState<D>>,
    connection: &mut ClientConnection,
    incoming: &Incoming,
) -> ConnectionOutcome {
    let key = state.next_key();
    let started = Instant::now();
    let ClientConnection { stream, codec, buf, ahead } = connection;
    let (mut read, mut write) = stream.split();
    if incoming.info.resumption.is_some() {
        state.check_suspension();
    }
    let arrived = Event::arrived(key, incoming.info.clone());
    let first_action = state.handle(arrived);
    let RequestInfo { host, path, .. } = &incoming.info;
    let (kind, configuration_version, deadline) = state.with_dispatcher(|it| {
        // The dispatcher has already forgotten a request that it refused at once.
        let route = it.route(key).or_else(|| it.table()?.find(host, path));
        let version = it.table().map_or(0, |table| table.version());
        (route.map(|route| route.kind), version, it.deadline(key))
    });
    let last_event = state.dialect.last_event(&incoming.head);
    let last_event = last_event.filter(|_| kind.is_some_and(RequestKind::repeatable));
    let sequence = EventSequence::new(D::EVENT_NUMBERING, last_event);
    let kind = kind.map_or("unrouted", RequestKind::as_str);
    let mut response_writer =
        ResponseWriter::new(&mut write, codec, sequence, state.stalled_responses.clone());
    if state.shutdown.requested() {
        response_writer.close();
    }
    if incoming.head.version < Version::HTTP_11 {
        response_writer.disable_chunks();
    }
    let (error_response, attempt_log) = (None, String::new());
    let (cost, wait) = (Duration::ZERO, Duration::ZERO);
    let processor = ProcessorTime::default();
    let mut exchange = Exchange {
        state,
        processor: &processor,
        key,
        incoming,
        response_writer,
        error_response,
        started,
        attempt_log,
        cost,
        wait,
        kind,
        configuration_version,
    };
    let deadline = deadline.map(|it| state.instant(it));
    let deadline = sleep_until(deadline.unwrap_or(started + MAX_DURATION).into());
    // A body that always has bytes to pass on uses up the budget of the task, without which nothing else is ever ready.
    let ended = tokio::select! {
        biased;
        outcome = processor.measure(exchange.run(first_action)) => Ok(outcome),
        () = unconstrained(client_disconnected(&mut read, buf, &state.bodies, ahead)) => Err(Event::ClientDisconnected { key }),
        () = unconstrained(deadline) => Err(Event::Expired { key }),
        () = unconstrained(state.shutdown.wait_exit()) => Err(Event::ShutdownExpired { key }),
    };
    let outcome = match ended {
        Ok(outcome) => outcome,
        Err(event) => exchange.interrupted(event).await,
    };
    if outcome == ConnectionOutcome::KeepAlive && !codec.keep_alive() {
        ConnectionOutcome::Close
    } else {
        outcome
    }
}

/// Time limit for a request without a deadline.
const MAX_DURATION: Duration = Duration::from_secs(600);

/// How a send attempt went.
enum Attempt {
    Ended(CallEnd),
    /// Its response was overdue, and this is done in its place.
    Replaced(Action),
}

struct Exchange<'a, 'c, D> {
    state: &'a Rc<FrontState<D>>,
    processor: &'a ProcessorTime,
    key: RequestKey,
    incoming: &'a Incoming,
    response_writer: ResponseWriter<'c>,
    /// The complete error response of the last failed attempt, which may be passed on to the client.
    error_response: Option<ErrorResponse>,
    started: Instant,
    /// The send attempts so far and how each failed, for the last log line of a failed request.
    attempt_log: String,
    /// The predicted time to the first output, penalties included, that led to a refusal, and the waiting time in it.
    cost: Duration,
    wait: Duration,
    /// The kind of the request's route, or `unrouted`.
    kind: &'static str,
    /// The version of the configuration in force when the request arrived; 0 if there was none.
    configuration_version: u64,
}

impl<D: Dialect> Exchange<'_, '_, D> {
    /// Executes the dispatcher's actions until the request has its final response.
    async fn run(&mut self, first_action: Option<Action>) -> ConnectionOutcome {
        let mut action = first_action;
        let mut has_asked = false;
        loop {
            action = match action {
                Some(Action::Send { decision, .. }) => match self.send(&decision).await {
                    Attempt::Replaced(action) => {
                        self.log_send_failure(&decision, SendFailure::TimedOut);
                        self.error_response = None;
                        Some(action)
                    }
                    Attempt::Ended(CallEnd::Finished(body_end)) => {
                        self.state.handle(Event::Finished { key: self.key });
                        self.log_answered(body_end);
                        return ConnectionOutcome::KeepAlive;
                    }
                    Attempt::Ended(CallEnd::ClientDisconnected) => {
                        self.state.handle(Event::ClientDisconnected { key: self.key });
                        self.log_end("left", "", None);
                        return ConnectionOutcome::Abort;
                    }
                    Attempt::Ended(CallEnd::Prefilled(handle)) => {
                        self.state.handle(Event::Prefilled { key: self.key, handle })
                    }
                    Attempt::Ended(CallEnd::Failed(failure, error_response)) => {
                        self.log_send_failure(&decision, failure);
                        self.error_response = error_response;
                        self.state.handle(Event::SendFailed { key: self.key, failure })
                    }
                },
                Some(Action::AwaitNews { attempt, until, .. }) => {
                    if !replace(&mut has_asked, true) {
                        self.state.request_news(attempt);
                    }
                    self.state.wait_for_news(until).await;
                    self.state.handle(Event::NewsAwaited { key: self.key })
                }
                Some(final_action) => return self.finish(final_action).await,
                None => return ConnectionOutcome::Abort,
            }
        }
    }

    /// Makes one send attempt. An attempt whose response is overdue is dropped if the dispatcher sends the request
    /// elsewhere.
    async fn send(&mut self, decision: &SendDecision) -> Attempt {
        self.log_send(decision);
        let call = Call {
            state: self.state,
            key: self.key,
            incoming: self.incoming,
            decision,
            processor: self.processor,
            response_writer: &mut self.response_writer,
            began_at: self.state.now(),
        };
        let Some(overdue_after) = decision.overdue_after else {
            return Attempt::Ended(call.run().await);
        };
        let mut call = std::pin::pin!(call.run());
        if let Ok(end) = timeout(overdue_after, &mut call).await {
            return Attempt::Ended(end);
        }
        match self.state.handle(Event::ResponseOverdue { key: self.key }) {
            Some(action) => Attempt::Replaced(action),
            None => Attempt::Ended(call.await),
        }
    }

    /// Handles a disconnect of the client, the expiry of the deadline or the exit of the process. The send attempt in
    /// flight has been dropped.
    async fn interrupted(&mut self, event: Event) -> ConnectionOutcome {
        let disconnected = matches!(event, Event::ClientDisconnected { .. });
        let action = self.state.handle(event);
        match action {
            _ if disconnected => {
                self.log_end("left", "", None);
                ConnectionOutcome::Abort
            }
            Some(final_action) => self.finish(final_action).await,
            None => ConnectionOutcome::Abort,
        }
    }

    /// Writes the final response, unless the client already has the head of one.
    async fn finish(&mut self, final_action: Action) -> ConnectionOutcome {
        if self.response_writer.head_passed() {
            self.log_end("cut", reason_of(&final_action).map_or("", Reason::as_str), None);
            return ConnectionOutcome::Abort;
        }
        let written = match final_action {
            Action::Refuse { reason, retry_after, cost, wait, .. } => {
                (self.cost, self.wait) = (cost, wait);
                self.log_end("refused", reason.as_str(), retry_after);
                let status = StatusCode::SERVICE_UNAVAILABLE;
                self.response_writer.write_own_response(status, reason.as_str(), retry_after).await
            }
            Action::Fail { reason, .. } => {
                self.log_end("failed", reason.as_str(), None);
                self.response_writer
                    .write_own_response(status_of(reason), reason.as_str(), None)
                    .await
            }
            Action::RelayErrorResponse { .. } => {
                self.log_end("relayed", "", None);
                let Some(ErrorResponse { head, body }) = self.error_response.take() else {
                    return ConnectionOutcome::Abort;
                };
                self.response_writer.write_response(&head, &body).await
            }
            _ => return ConnectionOutcome::Abort,
        };
        if written.is_ok() { ConnectionOutcome::KeepAlive } else { ConnectionOutcome::Abort }
    }

    fn log_send(&mut self, decision: &SendDecision) {
        let SendDecision {
            name,
            task,
            previous_attempts,
            cost,
            wait,
            uncached_tokens,
            fetch_from,
            max_output,
            candidates,
            software_version,
            ..
        } = decision;
        let (task, predicted_ms, wait_ms) = (task.as_str(), cost.as_millis(), wait.as_millis());
        // Writing to a string can't fail.
        let _ = write!(self.attempt_log, "{task} at {name} after {} ms; ", self.elapsed_ms());
        metrics::histogram!("daisychute_wait_spread_seconds", "task" => task)
            .record(decision.wait_spread);
        if *previous_attempts > 0 {
            metrics::counter!("daisychute_retries_total").increment(1);
        }
        let request = &self.incoming.info.id;
        let load_age_ms = decision.load_age.map(|it| it.as_millis());
        let shutdown_in_ms = decision.shutdown_in.map(|it| it.as_millis());
        let version = software_version.as_ref().map_or("", SoftwareVersion::as_str);
        let resumption = self.incoming.info.resumption.as_ref();
        let resumes = resumption.map(|it| it.first_attempt.as_deref().unwrap_or("unknown"));
        let after_event = self.response_writer.last_event_id();
        log::info!(
            request:%, endpoint:% = name, task, sends = previous_attempts, predicted_ms, wait_ms,
            unread = uncached_tokens, max_output:?, fetch_from:?, among = candidates, load_age_ms:?, shutdown_in_ms:?,
            version, resumes:?, after_event:?;
            "sent"
        );
    }

    fn log_send_failure(&mut self, decision: &SendDecision, failure: SendFailure) {
        let _ = write!(self.attempt_log, "{failure:?} after {} ms; ", self.elapsed_ms());
        let (request, endpoint, task) =
            (&self.incoming.info.id, &decision.name, decision.task.as_str());
        let parts = self.state.dialect.prompt_part_ids(&self.incoming.head).join(",");
        let first_ms = self.first_output_ms();
        let fingerprint = self.incoming.info.fingerprint.map(|it| it.to_string());
        let path = &self.incoming.info.path;
        log::warn!(
            request:%, endpoint:%, task, how:? = failure, parts, fingerprint:?, path:%, first_ms:?;
            "send failed"
        );
        metrics::counter!("daisychute_sends_failed_total", "how" => failure.as_str()).increment(1);
    }

    /// Time from the request's arrival to its first output; `None` before that.
    fn first_output_ms(&self) -> Option<u128> {
        let first = self.response_writer.timing().first;
        first.map(|it| it.duration_since(self.started).as_millis())
    }

    fn elapsed_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    /// Logs whether the request is quarantined, or which part of its prompt, by the id that the client gave it.
    fn log_quarantine(&self) {
        let info = &self.incoming.info;
        let now = self.state.now();
        let quarantined = self.state.with_dispatcher(|it| it.quarantine(now, info.causes()));
        let Some(quarantine) = quarantined else { return };
        let (request, strikes) = (&info.id, quarantine.strikes);
        let for_ms = quarantine.until.since(now).as_millis();
        match quarantine.cause {
            Cause::Part(key) => {
                let (part, part_key) = (self.part_id(key), part_key(key));
                log::warn!(request:%, part, part_key, strikes, for_ms; "request has a quarantined prompt part");
            }
            Cause::Request(fingerprint) => {
                log::warn!(request:%, fingerprint:%, strikes, for_ms; "request is quarantined");
            }
        }
    }

    /// Returns the id that the client gave the part of the prompt with this key; empty if there is none.
    fn part_id(&self, key: u64) -> &str {
        let parts = self.incoming.info.prompt.as_ref().map_or(&[][..], |it| &it.parts);
        let index = parts.iter().position(|it| it.key == key);
        let ids = self.state.dialect.prompt_part_ids(&self.incoming.head);
        index.and_then(|it| ids.get(it).copied()).unwrap_or_default()
    }

    /// Writes the last log line of a request that was answered and records its metrics.
    fn log_answered(&self, body_end: BodyEnd) {
        let outcome = "answered";
        self.count_end(outcome, "");
        let (request, kind, elapsed_ms) = (&self.incoming.info.id, self.kind, self.elapsed_ms());
        let first_ms = self.first_output_ms();
        let pause_ms = self.response_writer.timing().max_pause.as_millis();
        let BodyEnd { framing, left_ms, leaving } = body_end;
        let ended_by = framing.end_as_str();
        log::info!(
            request:%, outcome, kind, elapsed_ms, first_ms:?, pause_ms, ended_by, left_ms, leaving;
            "request ended"
        );
    }

    /// Records the metrics of a request that has ended.
    fn count_end(&self, outcome: &'static str, reason: &'static str) {
        count_request(outcome, reason);
        metrics::histogram!("daisychute_request_seconds", "kind" => self.kind, "outcome" => outcome)
            .record(self.started.elapsed());
    }

    /// Writes the last log line of a request that wasn't answered by an endpoint and records its metrics.
    fn log_end(&self, outcome: &'static str, reason: &'static str, retry_after: Option<Duration>) {
        self.count_end(outcome, reason);
        if reason == Reason::Quarantined.as_str() {
            self.log_quarantine();
        }
        let kind = self.kind;
        let (request, elapsed_ms) = (&self.incoming.info.id, self.elapsed_ms());
        let first_ms = self.first_output_ms();
        let pause_ms = self.response_writer.timing().max_pause.as_millis();
        let (config, path, attempt_log) =
            (self.configuration_version, &self.incoming.info.path, &self.attempt_log);
        let (predicted_ms, wait_ms) = (self.cost.as_millis(), self.wait.as_millis());
        let retry_after_ms = retry_after.map(|it| it.as_millis());
        log::warn!(
            request:%, outcome, reason, kind, path:%, config, predicted_ms, wait_ms, retry_after_ms:?, elapsed_ms,
            first_ms:?, pause_ms, trail = attempt_log;
            "request ended"
        );
    }
}

/// Counts a request that has ended, by outcome and reason.
pub(crate) fn count_request(outcome: &'static str, reason: &'static str) {
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
        Reason::UnknownKey => StatusCode::UNAUTHORIZED,
        Reason::NoId => StatusCode::BAD_REQUEST,
        Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}
