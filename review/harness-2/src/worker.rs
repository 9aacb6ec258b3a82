//! A worker of a plain service.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

use crate::http::{Reader, response};
use crate::json::Json;
use crate::record::Record;
use crate::wall_clock;

/// A worker that runs every request that is meant for it.
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    born: u128,
}

impl Worker {
    pub fn start(id: &str, record: Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let name = id.to_owned();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, record) = (name.clone(), record.clone());
                thread::spawn(move || serve(stream, &name, &record));
            }
        });
        Ok(Self { id: id.to_owned(), address, born: wall_clock().as_millis() })
    }

    /// The entry of the worker in the store.
    pub fn entry(&self, service: &str, sequence: u64) -> Json {
        let Self { address, born, .. } = self;
        let text = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"ahd-a","version":"v1","slots":6,"state":"ready",
            "cold_left_ms":0,"sequence":{sequence},"born":{born}}}"#
        );
        Json::parse(&text).expect("valid JSON")
    }
}

fn serve(stream: TcpStream, id: &str, record: &Record) {
    let _ = stream.set_nodelay(true);
    let Ok(mut write) = stream.try_clone() else { return };
    let mut reader = Reader::new(stream);
    while let Some(request) = reader.read_message() {
        let attempt = request.header("x-attempt-id").unwrap_or_default();
        let expected = request.header("x-expect-instance").unwrap_or(id);
        let text = if expected != id {
            response(421, &[("X-Attempt-Id", attempt), ("X-Not-Executed", "1")], "{}")
        } else if request.path() == "/health" {
            response(200, &[("X-Instance-Id", id)], "")
        } else {
            let tenant = request.header("x-tenant").unwrap_or_default();
            record.line(format!("worker {id} runs {attempt} of tenant {tenant}"));
            let headers = [("X-Attempt-Id", attempt), ("X-Server-Seal", "3e1b.07.5a2")];
            response(200, &headers, &format!(r#"{{"attempt":"{attempt}"}}"#))
        };
        if write.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}
