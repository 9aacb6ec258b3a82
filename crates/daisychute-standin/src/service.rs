//! A stand-in for a plain service.

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

/// How the service behaves.
#[derive(Debug, Clone)]
pub struct ServiceConfig {
    /// Its name, which it puts into its answers.
    pub name: String,
    /// How long one call takes.
    pub service_time: Duration,
}

impl ServiceConfig {
    /// A service of this name that answers at once.
    pub fn new(name: impl Into<String>) -> Self {
        Self { name: name.into(), service_time: Duration::ZERO }
    }
}

/// Faults of the service. `POST /_standin/faults` replaces all of them; a field left out is off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// The next so many calls fail with 503 and are not executed.
    pub fail_before: u32,
    /// The next so many calls are executed and lose their answers: the connection is closed.
    pub crash_after: u32,
    /// Milliseconds that a call takes beside the service time.
    pub slow_ms: u64,
    /// Calls are accepted, never executed and never answered.
    pub hang: bool,
}

/// What the service has seen since it started.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSeen {
    /// Calls that came, executed or not.
    pub calls: u64,
    /// Calls that were executed.
    pub executions: u64,
    /// Executions by `Idempotency-Key`; those without a key are not here.
    pub by_key: BTreeMap<String, u64>,
    /// Executions by path.
    pub by_path: BTreeMap<String, u64>,
    /// The value of `X-Request-Id` of each execution, in their order.
    pub request_ids: Vec<String>,
    /// Calls in progress.
    pub running: u64,
    /// The most calls that were in progress at once.
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
    /// The address can't be listened on.
    pub async fn start(addr: SocketAddr, config: ServiceConfig) -> Result<Self, StandinError> {
        let state = Rc::new(State { config, faults: Cell::default(), seen: RefCell::default() });
        let handler = Rc::new(Calls { state: Rc::clone(&state) });
        let server = Server::start(addr, handler, ByteCount::default()).await?;
        Ok(Self { server, state })
    }

    /// Where it listens.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.state.faults.set(faults);
    }

    /// What it has seen.
    #[must_use]
    pub fn seen(&self) -> ServiceSeen {
        self.state.seen.borrow().clone()
    }
}

struct Calls {
    state: Rc<State>,
}

impl Handler for Calls {
    async fn handle(&self, req: Incoming) -> Reply {
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/_standin/seen") => json_reply(StatusCode::OK, &*self.state.seen.borrow()),
            ("GET", "/_standin/faults") => json_reply(StatusCode::OK, &self.state.faults.get()),
            ("POST", "/_standin/faults") => self.set_faults(&req),
            ("GET", "/load") => json_reply(StatusCode::OK, &self.load()),
            _ => self.call(&req).await,
        }
    }
}

impl Calls {
    async fn call(&self, req: &Incoming) -> Reply {
        self.state.seen.borrow_mut().calls += 1;
        let faults = self.state.faults.get();
        if faults.hang {
            return std::future::pending().await;
        }
        if self.take(|it| &mut it.fail_before) {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let crash = self.take(|it| &mut it.crash_after);
        let execution = self.execute(req);
        let running = Running::start(&self.state);
        let span = self.state.config.service_time + Duration::from_millis(faults.slow_ms);
        if !span.is_zero() {
            actix_rt::time::sleep(span).await;
        }
        drop(running);
        if crash {
            return req.connection.close_unanswered().await;
        }
        json_reply(StatusCode::OK, &self.answer(req, execution))
    }

    /// Counts one execution and returns its number among those with the same key.
    fn execute(&self, req: &Incoming) -> u64 {
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

    fn answer(&self, req: &Incoming, execution: u64) -> Value {
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

    /// Uses up one of a counted fault; whether there was one.
    fn take(&self, count: impl Fn(&mut ServiceFaults) -> &mut u32) -> bool {
        let mut faults = self.state.faults.get();
        let left = count(&mut faults);
        if *left == 0 {
            return false;
        }
        *left -= 1;
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

/// A body as JSON, or as text where it is none.
fn echo(body: &[u8]) -> Value {
    if body.is_empty() {
        return Value::Null;
    }
    let text = || Value::from(String::from_utf8_lossy(body));
    serde_json::from_slice(body).unwrap_or_else(|_| text())
}

/// Counts a call in progress until dropped.
struct Running<'a> {
    state: &'a State,
}

impl<'a> Running<'a> {
    fn start(state: &'a State) -> Self {
        let mut seen = state.seen.borrow_mut();
        seen.running += 1;
        seen.most_running = seen.most_running.max(seen.running);
        Self { state }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.state.seen.borrow_mut().running -= 1;
    }
}
