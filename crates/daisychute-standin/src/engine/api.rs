//! The HTTP API of the engine.

use std::future;
use std::rc::Rc;

use actix_http::StatusCode;
use serde_json::json;

use super::completion::{Completion, CompletionApi, CompletionError};
use super::faults::{EngineFaults, ResponseFault};
use super::order::Order;
use super::response::ResponseFormat;
use super::seen::OrderOutcome;
use super::sequence::{Phase, Sequence};
use super::state::State;
use super::{control, kv_api, stream};
use crate::http::{
    Handler, Incoming, Reply, empty, json as json_reply, raw, stream as stream_reply, truncated,
};

/// Content type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// A body that isn't valid JSON, sent by the `garbage` fault.
const GARBAGE: &str = "{\"choices\":[{]%";

/// Handles the calls of the engine's API.
pub(super) struct Api {
    state: Rc<State>,
}

impl Api {
    pub(super) fn new(state: Rc<State>) -> Self {
        Self { state }
    }
}

impl Handler for Api {
    async fn handle(&self, req: Incoming) -> Reply {
        match (req.method.as_str(), req.segments().as_slice()) {
            ("POST", ["v1", "completions"]) => {
                self.complete(&req, CompletionApi::Completions).await
            }
            ("POST", ["v1", "chat", "completions"]) => {
                self.complete(&req, CompletionApi::Chat).await
            }
            ("POST", ["requests", id, "cancel"]) => self.cancel(id),
            ("GET", ["requests", id, "stream"]) => self.resume(&req, id),
            ("GET", ["load"]) => self.load(),
            ("GET", ["cache", "events"]) => self.cache_events(&req),
            ("POST", ["kv", "export"]) => kv_api::export(&self.state, &req),
            ("POST", ["kv", "import"]) => kv_api::import(&self.state, &req).await,
            ("GET", ["state"]) => json_reply(StatusCode::OK, &self.state.report()),
            ("POST", ["orders"]) => self.order(&req).await,
            (method, ["_standin", rest @ ..]) => control::handle(&self.state, &req, method, rest),
            _ => empty(StatusCode::NOT_FOUND),
        }
    }
}

impl Api {
    async fn complete(&self, req: &Incoming, api: CompletionApi) -> Reply {
        self.state.seen.borrow_mut().calls += 1;
        if self.state.faults.get().hang {
            return future::pending().await;
        }
        if self.state.with_faults(|it| EngineFaults::take(&mut it.refuse)) {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        if self.state.memory.borrow().changing.is_some() {
            self.state.seen.borrow_mut().refused_changing += 1;
            return error(StatusCode::SERVICE_UNAVAILABLE, "changing");
        }
        match Completion::parse(api, &req.body) {
            Ok(completion) => self.run(req, completion).await,
            Err(err) => self.refuse(err),
        }
    }

    async fn run(&self, req: &Incoming, completion: Completion) -> Reply {
        let api = completion.api;
        let streamed = completion.stream;
        let model = completion.model.clone();
        let sequence = match self.state.submit(completion) {
            Ok(sequence) => sequence,
            Err(err) => return self.refuse(err),
        };
        let format = ResponseFormat { api, id: sequence.job.id.clone(), model };
        let fault = self.state.with_faults(|it| it.take_response_fault(streamed));
        if streamed {
            return self.stream(sequence, format, fault, 0);
        }
        respond_when_finished(req, &sequence, &format, fault).await
    }

    fn stream(
        &self,
        sequence: Rc<Sequence>,
        format: ResponseFormat,
        fault: ResponseFault,
        from: u32,
    ) -> Reply {
        let events = stream::open(Rc::clone(&self.state), sequence, format, fault, from);
        stream_reply(EVENT_STREAM, events)
    }

    fn refuse(&self, err: CompletionError) -> Reply {
        if err == CompletionError::BadContinuation {
            self.state.seen.borrow_mut().bad_continuations += 1;
        }
        let status = match err {
            CompletionError::WrongModel => StatusCode::NOT_FOUND,
            _ => StatusCode::BAD_REQUEST,
        };
        json_reply(status, &json!({"error": {"message": err.to_string()}}))
    }

    fn cancel(&self, id: &str) -> Reply {
        self.state.cancel(id);
        empty(StatusCode::OK)
    }

    fn resume(&self, req: &Incoming, id: &str) -> Reply {
        let from = req.query.number("from").unwrap_or_default();
        let Some(sequence) = self.state.memory.borrow().requests.get(id) else {
            return empty(StatusCode::NOT_FOUND);
        };
        let Ok(from) = u32::try_from(from) else { return empty(StatusCode::BAD_REQUEST) };
        let model = self.state.memory.borrow().target.model.to_string();
        let format = ResponseFormat { api: sequence.job.api, id: id.to_owned(), model };
        self.state.seen.borrow_mut().resumed += 1;
        self.stream(sequence, format, ResponseFault::default(), from)
    }

    fn load(&self) -> Reply {
        json_reply(StatusCode::OK, &self.state.memory.borrow_mut().loads.report())
    }

    fn cache_events(&self, req: &Incoming) -> Reply {
        let from = req.query.number("from").unwrap_or_default();
        json_reply(StatusCode::OK, &self.state.memory.borrow().events.since(from))
    }

    async fn order(&self, req: &Incoming) -> Reply {
        let Ok(order) = serde_json::from_slice::<Order>(&req.body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let outcome = self.state.handle_order(order);
        if self.state.with_faults(|it| EngineFaults::take(&mut it.lose_orders)) {
            return req.connection.close_without_response().await;
        }
        match outcome {
            OrderOutcome::Accepted | OrderOutcome::Unchanged => empty(StatusCode::ACCEPTED),
            OrderOutcome::Changing => error(StatusCode::CONFLICT, "changing"),
            OrderOutcome::StaleFence => self.stale_fence(),
            OrderOutcome::Refused => empty(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    fn stale_fence(&self) -> Reply {
        let fence = self.state.memory.borrow().fence;
        json_reply(StatusCode::CONFLICT, &json!({"error": "stale_fence", "fence": fence}))
    }
}

/// Waits for the end of a request that isn't streamed, and returns its response.
async fn respond_when_finished(
    req: &Incoming,
    sequence: &Sequence,
    format: &ResponseFormat,
    fault: ResponseFault,
) -> Reply {
    loop {
        let progress = sequence.progress();
        match sequence.phase() {
            Phase::Waiting | Phase::Running => progress.await,
            Phase::Cancelled | Phase::Aborted => {
                return req.connection.close_without_response().await;
            }
            Phase::Finished(reason) => {
                let body = format.full_response(reason, sequence).to_string();
                return apply_fault(body, fault);
            }
        }
    }
}

fn apply_fault(body: String, fault: ResponseFault) -> Reply {
    if fault.garbage {
        return raw(GARBAGE);
    }
    if fault.truncate {
        return truncated(body);
    }
    raw(body)
}

fn error(status: StatusCode, reason: &str) -> Reply {
    json_reply(status, &json!({"error": reason}))
}
