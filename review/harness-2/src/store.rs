//! The platform's store: objects by kind and name, lists, watches, conditional writes, and the return from a copy.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, Reader, response};
use crate::json::Json;

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: Json,
}

#[derive(Clone)]
struct Change {
    revision: u64,
    kind: String,
    name: String,
    /// `None` if the object was deleted.
    spec: Option<Json>,
}

/// Objects, history and revision at one moment.
#[derive(Clone, Default)]
pub struct Copy {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Change>,
}

/// A write that the store has done.
#[derive(Debug, Clone)]
pub struct Written {
    pub kind: String,
    pub name: String,
    pub spec: Json,
}

type OnWrite = Box<dyn FnMut(&Written, &Copy) + Send>;

#[derive(Default)]
struct State {
    current: Copy,
    era: u64,
    /// Whether the store closes each connection without an answer.
    is_away: bool,
    on_write: Option<OnWrite>,
}

/// The store. Clones share it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

/// Time that each answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
            changed: Arc::default(),
        };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panicked")
    }

    /// Calls this after each write of a front, with what was written and the content of the store.
    pub fn on_write(&self, callback: impl FnMut(&Written, &Copy) + Send + 'static) {
        self.lock().on_write = Some(Box::new(callback));
    }

    /// Writes an object, as the operator or a worker does.
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        self.lock().current.put(kind, name, Some(spec));
        self.changed.notify_all();
    }

    /// Removes an object, as a worker that leaves does.
    pub fn delete(&self, kind: &str, name: &str) {
        self.lock().current.put(kind, name, None);
        self.changed.notify_all();
    }

    /// Lets the store be away, or return.
    pub fn set_away(&self, is_away: bool) {
        self.lock().is_away = is_away;
        self.changed.notify_all();
    }

    /// Replaces the content by that of a copy. The era rises by one.
    pub fn restore(&self, copy: &Copy) {
        let mut state = self.lock();
        state.current = copy.clone();
        state.era += 1;
        drop(state);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut write) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.read_message() {
            if self.lock().is_away {
                return;
            }
            thread::sleep(ANSWER_TIME);
            let Some(text) = self.handle(&request) else { return };
            if write.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Handles a call; `None` if its connection is to be closed.
    fn handle(&self, request: &Message) -> Option<String> {
        let path = request.path().strip_prefix("/api/objects/").unwrap_or_default();
        let (kind, name) = path.split_once('/').map_or((path, None), |it| (it.0, Some(it.1)));
        if request.method() == "GET" && name.is_none() && request.query("watch").is_some() {
            return self.watch(kind, request);
        }
        let mut state = self.lock();
        if state.is_away {
            return None;
        }
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let metadata = body.get("metadata").clone();
        let (status, text) = match (request.method(), name) {
            ("GET", None) => (200, state.current.list(kind)),
            ("GET", Some(name)) => state.current.read(kind, name),
            ("PUT", Some(name)) => state.write(kind, name, &body, true),
            ("POST", None) => {
                let name = metadata.get("name").as_str().unwrap_or_default().to_owned();
                state.write(kind, &name, &body, false)
            }
            _ => (404, "{}".to_owned()),
        };
        let era = state.era;
        drop(state);
        self.changed.notify_all();
        Some(respond(status, era, &text))
    }

    fn watch(&self, kind: &str, request: &Message) -> Option<String> {
        let number = |name| request.query(name).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
        let (revision, deadline) =
            (number("watch"), Instant::now() + Duration::from_millis(number("wait_ms")));
        let mut state = self.lock();
        let era = state.era;
        loop {
            // Watches that wait are cut off by an outage and by a return.
            if state.is_away || state.era != era {
                return None;
            }
            if revision > state.current.revision {
                return Some(respond(410, era, "{}"));
            }
            let events = state.current.events(kind, revision);
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let current = state.current.revision;
                let events = events.join(",");
                let text = format!(r#"{{"current_rev":{current},"events":[{events}]}}"#);
                return Some(respond(200, era, &text));
            }
            state = self.changed.wait_timeout(state, left).expect("no thread panicked").0;
        }
    }
}

impl State {
    /// Creates or replaces an object for a front.
    fn write(&mut self, kind: &str, name: &str, body: &Json, must_exist: bool) -> (u16, String) {
        let key = (kind.to_owned(), name.to_owned());
        let known = self.current.objects.get(&key).map(|it| it.revision);
        if known.is_some() != must_exist {
            return (if must_exist { 404 } else { 409 }, "{}".to_owned());
        }
        let condition = body.get("metadata").get("revision").as_u64();
        if condition.is_some() && condition != known {
            return (409, self.current.read(kind, name).1);
        }
        self.current.put(kind, name, Some(body.get("spec").clone()));
        let written = Written { kind: key.0, name: key.1, spec: body.get("spec").clone() };
        if let Some(on_write) = &mut self.on_write {
            on_write(&written, &self.current);
        }
        self.current.read(kind, name)
    }
}

impl Copy {
    fn put(&mut self, kind: &str, name: &str, spec: Option<Json>) {
        self.revision += 1;
        let (revision, key) = (self.revision, (kind.to_owned(), name.to_owned()));
        let (kind, name) = key.clone();
        self.history.push(Change { revision, kind, name, spec: spec.clone() });
        match spec {
            Some(spec) => _ = self.objects.insert(key, Object { revision, spec }),
            None => _ = self.objects.remove(&key),
        }
    }

    fn list(&self, kind: &str) -> String {
        let listed = self.objects.iter().filter(|(key, _)| key.0 == kind);
        let items: Vec<_> = listed.map(|(key, it)| object(&key.1, it.revision, &it.spec)).collect();
        let (items, revision) = (items.join(","), self.revision);
        format!(r#"{{"current_rev":{revision},"items":[{items}],"more":false}}"#)
    }

    fn read(&self, kind: &str, name: &str) -> (u16, String) {
        match self.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(it) => (200, object(name, it.revision, &it.spec)),
            None => (404, "{}".to_owned()),
        }
    }

    fn events(&self, kind: &str, after: u64) -> Vec<String> {
        let changes = self.history.iter().filter(|it| it.kind == kind && it.revision > after);
        let event = |it: &Change| {
            let spec = it.spec.clone().unwrap_or(Json::Null);
            let (deleted, object) = (it.spec.is_none(), object(&it.name, it.revision, &spec));
            format!(r#"{{"deleted":{deleted},"object":{object}}}"#)
        };
        changes.map(event).collect()
    }
}

fn object(name: &str, revision: u64, spec: &Json) -> String {
    format!(r#"{{"metadata":{{"name":"{name}","revision":{revision}}},"spec":{spec}}}"#)
}

fn respond(status: u16, era: u64, body: &str) -> String {
    response(status, &[("Store-Era", &era.to_string()), ("Content-Type", "application/json")], body)
}
