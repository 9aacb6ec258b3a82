//! A stand-in for a plain service, which echoes requests.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::StandinError;
use crate::http::{ByteCount, Handler, Incoming, Reply, Server, empty, json as json_reply};

/// Configuration of the service.
#[derive(Debug, Clone)]
pub struct ServiceConfig {
    /// Name of the service, included in its responses.
    pub name: String,
    /// Duration of one call without faults.
    pub service_time: Duration,
}

impl ServiceConfig {
    /// Configuration of a service with this name that responds at once.
    pub fn new(name: impl Into<String>) -> Self {
        Self { name: name.into(), service_time: Duration::ZERO }
    }
}

/// Faults to inject. `POST /_standin/faults` replaces all of them; a missing field is off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Number of next calls that fail with 503 without being executed.
    pub fail_before: u32,
    /// Number of next calls that are executed but get no response: the connection is closed instead.
    pub crash_after: u32,
    /// Time added to the duration of each call, in milliseconds.
    pub slow_ms: u64,
    /// Calls are accepted but never executed and get no response.
    pub hang: bool,
}

/// Counters of the service since it started.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSeen {
    /// Number of calls received, executed or not.
    pub calls: u64,
    /// Number of calls executed.
    pub executions: u64,
    /// Number of executions by `Idempotency-Key`; those without a key aren't counted here.
    pub by_key: BTreeMap<String, u64>,
    /// Number of executions by request path.
    pub by_path: BTreeMap<String, u64>,
    /// Value of `X-Request-Id` of each execution that has one, in order of execution.
    pub request_ids: Vec<String>,
    /// Number of calls being executed now.
    pub running: u64,
    /// Maximum number of calls executed concurrently.
    pub most_running: u64,
}

#[derive(Debug)]
struct State {
    config: ServiceConfig,
    faults: Cell<ServiceFaults>,
    seen: RefCell<ServiceSeen>,
}

/// A running service. Dropping it stops it.
#[derive(Debug)]
pub struct Service {
    server: Server,
    state: Rc<State>,
}

impl Service {
    /// Listens on `addr`; port 0 takes any free one.
    ///
    /// # Errors
    ///
    /// The listening socket can't be bound.
    pub async fn start(addr: SocketAddr, config: ServiceConfig) -> Result<Self, StandinError> {
        let state = Rc::new(State { config, faults: Cell::default(), seen: RefCell::default() });
        let handler = Rc::new(ServiceApi { state: Rc::clone(&state) });
        let server = Server::start(addr, handler, ByteCount::default()).await?;
        Ok(Self { server, state })
    }

    /// Address on which the service listens.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Replaces all injected faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.state.faults.set(faults);
    }

    /// Counters since the service started.
    #[must_use]
    pub fn seen(&self) -> ServiceSeen {
        self.state.seen.borrow().clone()
    }
}

struct ServiceApi {
    state: Rc<State>,
}

impl Handler for ServiceApi {
    async fn handle(&self, req: Incoming) -> Reply {
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/_standin/seen") => json_reply(StatusCode::OK, &*self.state.seen.borrow()),
            ("GET", "/_standin/faults") => json_reply(StatusCode::OK, &self.state.faults.get()),
            ("POST", "/_standin/faults") => self.set_faults(&req),
            ("GET", "/load") => json_reply(StatusCode::OK, &self.load()),
            _ => self.handle_call(&req).await,
        }
    }
}

impl ServiceApi {
    async fn handle_call(&self, req: &Incoming) -> Reply {
        self.state.seen.borrow_mut().calls += 1;
        let faults = self.state.faults.get();
        if faults.hang {
            return std::future::pending().await;
        }
        if self.take_fault(|it| &mut it.fail_before) {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let crash = self.take_fault(|it| &mut it.crash_after);
        let execution = self.count_execution(req);
        let running = RunningCall::start(&self.state);
        let duration = self.state.config.service_time + Duration::from_millis(faults.slow_ms);
        if !duration.is_zero() {
            actix_rt::time::sleep(duration).await;
        }
        drop(running);
        if crash {
            return req.connection.close_without_response().await;
        }
        json_reply(StatusCode::OK, &self.response_body(req, execution))
    }

    /// Counts one execution. Returns its ordinal among those with the same key, or among all if it has no key.
    fn count_execution(&self, req: &Incoming) -> u64 {
        let mut seen = self.state.seen.borrow_mut();
        seen.executions += 1;
        *seen.by_path.entry(req.path.clone()).or_default() += 1;
        if let Some(id) = req.header("x-request-id") {
            seen.request_ids.push(id.to_owned());
        }
        let Some(key) = req.header("idempotency-key") else { return seen.executions };
        let count = seen.by_key.entry(key.to_owned()).or_default();
        *count += 1;
        *count
    }

    fn response_body(&self, req: &Incoming, execution: u64) -> Value {
        json!({
            "service": self.state.config.name,
            "path": req.path,
            "execution": execution,
            "echo": echo(&req.body),
        })
    }

    fn load(&self) -> Value {
        let running = self.state.seen.borrow().running;
        json!({
            "running": running,
            "waiting": 0,
            "prompt_tokens_waiting": 0,
            "kv_free_tokens": 0,
            "as_of_ms_ago": 0,
        })
    }

    /// Consumes one occurrence of a counted fault. Returns whether one was left.
    fn take_fault(&self, count: impl Fn(&mut ServiceFaults) -> &mut u32) -> bool {
        let mut faults = self.state.faults.get();
        let remaining = count(&mut faults);
        if *remaining == 0 {
            return false;
        }
        *remaining -= 1;
        self.state.faults.set(faults);
        true
    }

    fn set_faults(&self, req: &Incoming) -> Reply {
        match serde_json::from_slice(&req.body) {
            Ok(faults) => {
                self.state.faults.set(faults);
                json_reply(StatusCode::OK, &faults)
            }
            Err(_) => empty(StatusCode::BAD_REQUEST),
        }
    }
}

/// Returns a request body as JSON, as a string if it isn't JSON, or as null if it is empty.
fn echo(body: &[u8]) -> Value {
    if body.is_empty() {
        return Value::Null;
    }
    let text = || Value::from(String::from_utf8_lossy(body));
    serde_json::from_slice(body).unwrap_or_else(|_| text())
}

/// Counts a call as running until dropped.
struct RunningCall<'a> {
    state: &'a State,
}

impl<'a> RunningCall<'a> {
    fn start(state: &'a State) -> Self {
        let mut seen = state.seen.borrow_mut();
        seen.running += 1;
        seen.most_running = seen.most_running.max(seen.running);
        Self { state }
    }
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        self.state.seen.borrow_mut().running -= 1;
    }
}
