//! The calls of the object API and of the stand-in's own switches.

use std::future;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Method, StatusCode};
use serde_json::{Value, json};

use super::api_error::ApiError;
use super::object::Object;
use super::{INSTANCES, State, watch, weights};
use crate::http::{Handler, Incoming, Reply, empty, json, stream};

/// The largest object, in bytes.
const MAX_OBJECT_LEN: usize = 1 << 20;

/// Answers the calls.
pub(super) struct Api {
    pub(super) state: Rc<State>,
}

type Answer = Result<Reply, ApiError>;

impl Handler for Api {
    async fn handle(&self, req: Incoming) -> Reply {
        match req.segments().as_slice() {
            ["weights", model, version] => weights::load(&self.state, model, version).await,
            ["_standin", rest @ ..] => self.control(&req, rest),
            ["apis", "daisychute.dev", "v1", kind] => self.call(&req, kind, None).await,
            ["apis", "daisychute.dev", "v1", kind, name] => self.call(&req, kind, Some(name)).await,
            _ => ApiError::NotFound.reply(),
        }
    }
}

impl Api {
    async fn call(&self, req: &Incoming, kind: &str, name: Option<&str>) -> Reply {
        let verb = verb(req, name);
        self.state.seen.borrow_mut().count_call(verb, kind);
        self.delay(req).await;
        let answer = self.limit(verb).and_then(|()| self.dispatch(req, verb, kind, name));
        if answer.is_ok() && self.loses_answer(&req.method) {
            return req.connection.close_unanswered().await;
        }
        let reply = answer.unwrap_or_else(ApiError::reply);
        self.state.seen.borrow_mut().count_answer(reply.status().as_u16());
        reply
    }

    /// Waits, or never returns, as the faults say.
    async fn delay(&self, req: &Incoming) {
        let faults = self.state.faults.get();
        if faults.outage {
            return req.connection.close_unanswered().await;
        }
        if faults.hang {
            return future::pending().await;
        }
        if faults.delay_ms > 0 {
            actix_rt::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
    }

    fn limit(&self, verb: &str) -> Result<(), ApiError> {
        if self.state.faults.get().unavailable {
            return Err(ApiError::ServiceUnavailable);
        }
        let limit = match verb {
            "create" | "replace" | "delete" => &self.state.writes,
            _ => &self.state.reads,
        };
        if limit.borrow_mut().take() { Ok(()) } else { Err(ApiError::TooManyRequests) }
    }

    fn loses_answer(&self, method: &Method) -> bool {
        let mut faults = self.state.faults.get();
        if *method == Method::GET || faults.lose_answers == 0 {
            return false;
        }
        faults.lose_answers -= 1;
        self.state.faults.set(faults);
        true
    }

    fn dispatch(&self, req: &Incoming, verb: &str, kind: &str, name: Option<&str>) -> Answer {
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

    fn get(&self, kind: &str, name: &str) -> Answer {
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

    fn watch(&self, req: &Incoming, kind: &str) -> Answer {
        let present = self.state.store.borrow().version();
        let version = req.query.number("resourceVersion").unwrap_or(present);
        self.state.store.borrow().changes(kind, version)?;
        let prefix = req.query.get("prefix").unwrap_or_default();
        let lines = watch::open(Rc::clone(&self.state), kind, prefix, version);
        Ok(stream("application/json", lines))
    }

    fn create(&self, req: &Incoming, kind: &str) -> Answer {
        let object = parse(req)?;
        let stored = self.state.store.borrow_mut().create(kind, object)?;
        self.state.changed.notify_waiters();
        Ok(json(StatusCode::CREATED, &*stored))
    }

    fn replace(&self, req: &Incoming, kind: &str, name: &str) -> Answer {
        let object = parse(req)?;
        if object.metadata.name != name {
            return Err(ApiError::Invalid);
        }
        let stored = self.state.store.borrow_mut().replace(kind, object)?;
        self.state.changed.notify_waiters();
        Ok(json(StatusCode::OK, &*stored))
    }

    fn delete(&self, req: &Incoming, kind: &str, name: &str) -> Answer {
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
                self.state.remove_instance_late(name);
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
                self.state.put_instance_late(name, spec);
                empty(StatusCode::OK)
            }
            Err(_) => ApiError::Invalid.reply(),
        }
    }
}

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

fn parse(req: &Incoming) -> Result<Object, ApiError> {
    if req.body.len() > MAX_OBJECT_LEN {
        return Err(ApiError::RequestEntityTooLarge);
    }
    serde_json::from_slice(&req.body).map_err(|_| ApiError::Invalid)
}
