//! Stand-in for the platform's store: objects, lists and watches.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, response};
use crate::json;
use crate::record::Record;

/// Time of an answer, as on the users' sheets.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Change {
    revision: u64,
    kind: String,
    name: String,
    deleted: bool,
    spec: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    history: Vec<Change>,
    /// Number of connections accepted so far.
    accepted: u64,
    /// Connections with a lower number are silent: nothing more is answered on them, and they stay open.
    silent_below: u64,
}

/// The store. Clones share the objects.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    address: SocketAddr,
    record: Record,
}

impl Store {
    pub fn start(record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let state = Arc::new((Mutex::new(State::default()), Condvar::new()));
        let store = Self { state, address, record: record.clone() };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = server.with(|it| {
                    it.accepted += 1;
                    it.accepted - 1
                });
                let server = server.clone();
                thread::spawn(move || server.serve(stream, number));
            }
        });
        Ok(store)
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn with<T>(&self, access: impl FnOnce(&mut State) -> T) -> T {
        access(&mut self.state.0.lock().expect("no holder panics"))
    }

    /// Makes all connections that are open now silent for good. New ones work.
    pub fn silence_connections(&self) -> u64 {
        self.with(|it| {
            it.silent_below = it.accepted;
            it.accepted
        })
    }

    /// Creates or replaces an object, as the operator and the workers do. The return is the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.change(kind, name, Some(spec));
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        self.change(kind, name, None);
    }

    fn change(&self, kind: &str, name: &str, spec: Option<&str>) {
        let (kind, name) = (kind.to_owned(), name.to_owned());
        self.with(|it| {
            it.revision += 1;
            let (revision, key) = (it.revision, (kind.clone(), name.clone()));
            match spec {
                Some(spec) => _ = it.objects.insert(key, (revision, spec.to_owned())),
                None => _ = it.objects.remove(&key),
            }
            let (deleted, spec) = (spec.is_none(), spec.unwrap_or("null").to_owned());
            it.history.push(Change { revision, kind, name, deleted, spec });
        });
        self.state.1.notify_all();
    }

    fn is_silent(&self, number: u64) -> bool {
        self.with(|it| number < it.silent_below)
    }

    fn serve(&self, stream: TcpStream, number: u64) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(req)) = connection.read() {
            thread::sleep(ANSWER_TIME);
            let text = self.handle(&req);
            if self.is_silent(number) {
                let target = req.target();
                self.record.line(format!(
                    "store: connection {number} is silent: {} {target} gets no answer",
                    req.method()
                ));
                continue;
            }
            if connection.write(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, req: &Message) -> String {
        let (path, query) = req.target().split_once('?').unwrap_or((req.target(), ""));
        let path = path.strip_prefix("/api/objects/").unwrap_or_default();
        let (kind, name) = path.split_once('/').map_or((path, None), |it| (it.0, Some(it.1)));
        let parameter = |name: &str| {
            query
                .split('&')
                .filter_map(|it| it.split_once('='))
                .find(|it| it.0 == name)
                .map(|it| it.1)
        };
        match (req.method(), name, parameter("watch")) {
            ("GET", None, Some(revision)) => {
                let wait_ms = parameter("wait_ms").and_then(|it| it.parse().ok()).unwrap_or(0);
                self.watch(kind, revision.parse().unwrap_or(0), Duration::from_millis(wait_ms))
            }
            ("GET", None, None) => self.list(kind),
            ("GET", Some(name), _) => self.read(kind, name),
            ("PUT", Some(name), _) => self.write(kind, name, &req.text(), true),
            ("POST", None, _) => {
                let body = req.text();
                let metadata = json::get(&body, "metadata").unwrap_or_default();
                let name = json::get(metadata, "name").map(json::string).unwrap_or_default();
                self.write(kind, name, &body, false)
            }
            _ => response(404, &[], "{}"),
        }
    }

    fn write(&self, kind: &str, name: &str, body: &str, must_exist: bool) -> String {
        let key = (kind.to_owned(), name.to_owned());
        let stored = self.with(|it| it.objects.get(&key).cloned());
        if stored.is_some() != must_exist {
            return response(if must_exist { 404 } else { 409 }, &[], "{}");
        }
        let metadata = json::get(body, "metadata").unwrap_or("{}");
        let condition: Option<u64> = json::get(metadata, "revision").and_then(|it| it.parse().ok());
        if let (Some((revision, spec)), Some(condition)) = (&stored, condition)
            && *revision != condition
        {
            return response(409, &[], &object(name, *revision, spec));
        }
        let spec = json::get(body, "spec").unwrap_or("{}");
        // A write that changes nothing makes no event.
        if stored.is_none_or(|it| it.1 != spec) {
            self.put(kind, name, spec);
        }
        self.read(kind, name)
    }

    fn read(&self, kind: &str, name: &str) -> String {
        let key = (kind.to_owned(), name.to_owned());
        match self.with(|it| it.objects.get(&key).cloned()) {
            Some((revision, spec)) => response(200, &[], &object(name, revision, &spec)),
            None => response(404, &[], "{}"),
        }
    }

    fn list(&self, kind: &str) -> String {
        self.with(|it| {
            let of_kind = it.objects.iter().filter(|((of, _), _)| of == kind);
            let items: Vec<_> = of_kind.map(|((_, name), it)| object(name, it.0, &it.1)).collect();
            let (items, revision) = (items.join(","), it.revision);
            response(
                200,
                &[],
                &format!("{{\"items\":[{items}],\"more\":false,\"current_rev\":{revision}}}"),
            )
        })
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let deadline = Instant::now() + wait;
        let mut state = self.state.0.lock().expect("no holder panics");
        loop {
            let new = state.history.iter().filter(|it| it.kind == kind && it.revision > after);
            let events: Vec<_> = new.map(event).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return response(
                    200,
                    &[],
                    &format!("{{\"events\":[{events}],\"current_rev\":{revision}}}"),
                );
            }
            state = self.state.1.wait_timeout(state, left).expect("no holder panics").0;
        }
    }
}

fn event(change: &Change) -> String {
    let Change { revision, name, deleted, spec, .. } = change;
    format!("{{\"object\":{},\"deleted\":{deleted}}}", object(name, *revision, spec))
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!("{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision}}},\"spec\":{spec}}}")
}
