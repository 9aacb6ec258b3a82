//! Stand-in for a worker.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Connection, Message, response};
use crate::record::Record;

/// How a worker responds to requests that it runs.
#[derive(Debug, Clone, Copy)]
pub enum Behaviour {
    /// One response after this time.
    Plain(Duration),
    /// A stream of this many events, or of `long` ones for a body that begins so, with this pause before each. It goes on
    /// after `Last-Event-Id`.
    Stream { events: u32, long: u32, pause: Duration },
}

/// A worker. Clones are the same worker.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub service: String,
    pub version: String,
    pub address: SocketAddr,
    behaviour: Behaviour,
    runs: Arc<Mutex<Vec<String>>>,
    record: Record,
}

impl Worker {
    pub fn start(
        id: &str,
        service: &str,
        version: &str,
        behaviour: Behaviour,
        record: &Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let worker = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            address: listener.local_addr()?,
            behaviour,
            runs: Arc::default(),
            record: record.clone(),
        };
        let server = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(worker)
    }

    /// Returns the record of the worker in the store.
    pub fn entry(&self, state: &str) -> String {
        let Self { service, version, address, behaviour, .. } = self;
        let stage = match behaviour {
            Behaviour::Plain(_) => String::new(),
            Behaviour::Stream { .. } => {
                "\"stage\":\"decode\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                    .to_owned()
            }
        };
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"agdal\",\"version\":\"{version}\",\
             \"slots\":16,{stage}\"state\":\"{state}\",\"cold_left_ms\":0,\"sequence\":1}}"
        )
    }

    /// Returns the ids of the requests that the worker ran.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().expect("no holder panics").clone()
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(req)) = connection.read() {
            let served = match req.target().split('?').next().unwrap_or_default() {
                "/api/kv-list" => connection.write(
                    response(200, &[], "{\"epoch\":1,\"next_token\":1,\"held\":[]}").as_bytes(),
                ),
                "/health" => {
                    connection.write(response(200, &[("X-Instance-Id", &self.id)], "ok").as_bytes())
                }
                _ => self.run(&mut connection, &req),
            };
            if served.is_err() {
                return;
            }
        }
    }

    fn run(&self, connection: &mut Connection, req: &Message) -> std::io::Result<()> {
        let attempt = req.header("x-attempt-id").unwrap_or_default().to_owned();
        let echo = ("X-Attempt-Id", attempt.as_str());
        if !req.whole {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        if req.header("x-expect-instance").is_some_and(|it| it != self.id) {
            let text = response(421, &[echo, ("X-Not-Executed", "1")], "other instance");
            return connection.write(text.as_bytes());
        }
        self.runs.lock().expect("no holder panics").push(attempt.clone());
        let (id, service, version) = (&self.id, &self.service, &self.version);
        let last = req.header("last-event-id").unwrap_or("-");
        let bytes = req.body.len();
        self.record.line(format!("worker {id}: runs {attempt} for {service}, version {version}, after event {last}, body {bytes} bytes"));
        let seal = format!("{id}.{attempt}");
        match self.behaviour {
            Behaviour::Plain(time) => {
                thread::sleep(time);
                let body = format!(
                    "{{\"worker\":\"{id}\",\"service\":\"{service}\",\"version\":\"{version}\"}}"
                );
                let headers =
                    [echo, ("X-Server-Seal", &seal), ("Content-Type", "application/json")];
                connection.write(response(200, &headers, &body).as_bytes())
            }
            Behaviour::Stream { events, long, pause } => {
                let events = if req.body.starts_with(b"long") { long } else { events };
                let first = last.parse().map_or(1, |it: u32| it + 1);
                self.stream(connection, &attempt, &seal, first..events + 1, pause)
            }
        }
    }

    fn stream(
        &self,
        connection: &mut Connection,
        attempt: &str,
        seal: &str,
        events: std::ops::Range<u32>,
        pause: Duration,
    ) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: {seal}\r\nX-Weight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        connection.write(head.as_bytes())?;
        for number in events {
            thread::sleep(pause);
            let event =
                format!("id: {number}\ndata: {}/{}-{number}\n\n", self.service, self.version);
            connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        connection.write(b"0\r\n\r\n")
    }
}
