//! HTTP handlers of the object API, and of the calls that control the stand-in itself.

use std::future;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Method, StatusCode};
use serde_json::{Value, json};

use super::api_error::ApiError;
use super::object::Object;
use super::{INSTANCES, State, watch, weights};
use crate::http::{Handler, Incoming, Reply, empty, json, stream};

/// Maximum size of an object in a request body, in bytes.
const MAX_OBJECT_BYTES: usize = 1 << 20;

/// Handles the calls of the platform's API.
pub(super) struct Api {
    pub(super) state: Rc<State>,
}

type ApiResult = Result<Reply, ApiError>;

impl Handler for Api {
    async fn handle(&self, req: Incoming) -> Reply {
        match req.segments().as_slice() {
            ["weights", model, version] => weights::load(&self.state, model, version).await,
            ["_standin", rest @ ..] => self.control(&req, rest),
            ["apis", "daisychute.dev", "v1", kind] => self.handle_call(&req, kind, None).await,
            ["apis", "daisychute.dev", "v1", kind, name] => {
                self.handle_call(&req, kind, Some(name)).await
            }
            _ => ApiError::NotFound.reply(),
        }
    }
}

impl Api {
    async fn handle_call(&self, req: &Incoming, kind: &str, name: Option<&str>) -> Reply {
        let verb = verb(req, name);
        self.state.seen.borrow_mut().count_call(verb, kind);
        self.apply_delay_faults(req).await;
        let result = self.check_rate(verb).and_then(|()| self.dispatch(req, verb, kind, name));
        if result.is_ok() && self.take_lost_response(&req.method) {
            return req.connection.close_without_response().await;
        }
        let reply = result.unwrap_or_else(ApiError::reply);
        self.state.seen.borrow_mut().count_response(reply.status().as_u16());
        reply
    }

    /// Applies the faults that delay a call. Never returns during an outage or a hang.
    async fn apply_delay_faults(&self, req: &Incoming) {
        let faults = self.state.faults.get();
        if faults.outage {
            return req.connection.close_without_response().await;
        }
        if faults.hang {
            return future::pending().await;
        }
        if faults.delay_ms > 0 {
            actix_rt::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
    }

    fn check_rate(&self, verb: &str) -> Result<(), ApiError> {
        if self.state.faults.get().unavailable {
            return Err(ApiError::ServiceUnavailable);
        }
        let rate_limit = match verb {
            "create" | "replace" | "delete" => &self.state.writes,
            _ => &self.state.reads,
        };
        if rate_limit.borrow_mut().try_acquire() { Ok(()) } else { Err(ApiError::TooManyRequests) }
    }

    /// Consumes one occurrence of the fault `lose_answers` if the call is a write. Returns whether one was left.
    fn take_lost_response(&self, method: &Method) -> bool {
        let mut faults = self.state.faults.get();
        if *method == Method::GET || faults.lose_answers == 0 {
            return false;
        }
        faults.lose_answers -= 1;
        self.state.faults.set(faults);
        true
    }

    fn dispatch(&self, req: &Incoming, verb: &str, kind: &str, name: Option<&str>) -> ApiResult {
        match (verb, name) {
            ("get", Some(name)) => self.get(kind, name),
            ("list", None) => Ok(self.list(req, kind)),
            ("watch", None) => self.watch(req, kind),
            ("create", None) => self.create(req, kind),
            ("replace", Some(name)) => self.replace(req, kind, name),
            ("delete", Some(name)) => self.delete(req, kind, name),
            _ => Err(ApiError::MethodNotAllowed),
        }
    }

    fn get(&self, kind: &str, name: &str) -> ApiResult {
        let object = match &*self.state.stale.borrow() {
            Some(stale) => stale.get(kind, name)?,
            None => self.state.store.borrow().get(kind, name)?,
        };
        Ok(json(StatusCode::OK, &*object))
    }

    fn list(&self, req: &Incoming, kind: &str) -> Reply {
        let prefix = req.query.get("prefix").unwrap_or_default();
        let (version, objects) = match &*self.state.stale.borrow() {
            Some(stale) => (stale.version(), stale.list(kind, prefix)),
            None => {
                let store = self.state.store.borrow();
                (store.version(), store.list(kind, prefix))
            }
        };
        let items: Vec<&Object> = objects.iter().map(|it| &**it).collect();
        let metadata = json!({"resourceVersion": version.to_string()});
        json(StatusCode::OK, &json!({"kind": "List", "metadata": metadata, "items": items}))
    }

    fn watch(&self, req: &Incoming, kind: &str) -> ApiResult {
        let current = self.state.store.borrow().version();
        let version = req.query.number("resourceVersion").unwrap_or(current);
        self.state.store.borrow().changes(kind, version)?;
        let prefix = req.query.get("prefix").unwrap_or_default();
        let lines = watch::open(Rc::clone(&self.state), kind, prefix, version);
        Ok(stream("application/json", lines))
    }

    fn create(&self, req: &Incoming, kind: &str) -> ApiResult {
        let object = parse_object(req)?;
        let stored = self.state.store.borrow_mut().create(kind, object)?;
        self.state.changed.notify_waiters();
        Ok(json(StatusCode::CREATED, &*stored))
    }

    fn replace(&self, req: &Incoming, kind: &str, name: &str) -> ApiResult {
        let object = parse_object(req)?;
        if object.metadata.name != name {
            return Err(ApiError::Invalid);
        }
        let stored = self.state.store.borrow_mut().replace(kind, object)?;
        self.state.changed.notify_waiters();
        Ok(json(StatusCode::OK, &*stored))
    }

    fn delete(&self, req: &Incoming, kind: &str, name: &str) -> ApiResult {
        let version = req.query.number("resourceVersion").ok_or(ApiError::Invalid)?;
        let deleted = self.state.store.borrow_mut().delete(kind, name, version)?;
        self.state.changed.notify_waiters();
        Ok(json(StatusCode::OK, &*deleted))
    }

    fn control(&self, req: &Incoming, rest: &[&str]) -> Reply {
        match (req.method.as_str(), rest) {
            ("GET", ["seen"]) => json(StatusCode::OK, &self.state.seen()),
            ("GET", ["faults"]) => json(StatusCode::OK, &self.state.faults.get()),
            ("POST", ["faults"]) => self.set_faults(req),
            ("POST", ["compact"]) => {
                self.state.compact();
                empty(StatusCode::OK)
            }
            ("PUT", [INSTANCES, name]) => self.put_instance(req, name),
            ("DELETE", [INSTANCES, name]) => {
                self.state.remove_instance_after_lag(name);
                empty(StatusCode::OK)
            }
            _ => ApiError::NotFound.reply(),
        }
    }

    fn set_faults(&self, req: &Incoming) -> Reply {
        match serde_json::from_slice(&req.body) {
            Ok(faults) => {
                self.state.set_faults(faults);
                json(StatusCode::OK, &faults)
            }
            Err(_) => ApiError::Invalid.reply(),
        }
    }

    fn put_instance(&self, req: &Incoming, name: &str) -> Reply {
        match serde_json::from_slice::<Value>(&req.body) {
            Ok(spec) => {
                self.state.put_instance_after_lag(name, spec);
                empty(StatusCode::OK)
            }
            Err(_) => ApiError::Invalid.reply(),
        }
    }
}

/// Verb under which a call is dispatched and counted.
fn verb(req: &Incoming, name: Option<&str>) -> &'static str {
    match req.method.as_str() {
        "GET" if req.query.get("watch") == Some("1") => "watch",
        "GET" if name.is_some() => "get",
        "GET" => "list",
        "POST" => "create",
        "PUT" => "replace",
        "DELETE" => "delete",
        _ => "other",
    }
}

fn parse_object(req: &Incoming) -> Result<Object, ApiError> {
    if req.body.len() > MAX_OBJECT_BYTES {
        return Err(ApiError::RequestEntityTooLarge);
    }
    serde_json::from_slice(&req.body).map_err(|_| ApiError::Invalid)
}
