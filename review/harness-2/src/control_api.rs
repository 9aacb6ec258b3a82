//! The platform's control API, which one front at a time calls.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use crate::http::{Reader, response};
use crate::json::Json;
use crate::record::Record;

/// A usage report that was accepted.
#[derive(Debug, Clone)]
pub struct UsageCall {
    pub at: Instant,
    pub holder: String,
    pub token: u64,
    pub window: u64,
    pub counts: String,
}

/// The control API. It accepts every report: with `require_fence` = false, it checks no tokens.
#[derive(Clone)]
pub struct ControlApi {
    pub address: SocketAddr,
    calls: Arc<Mutex<Vec<UsageCall>>>,
}

impl ControlApi {
    pub fn start(record: Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let api = Self { address: listener.local_addr()?, calls: Arc::default() };
        let calls = Arc::clone(&api.calls);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (calls, record) = (Arc::clone(&calls), record.clone());
                thread::spawn(move || serve(stream, &calls, &record));
            }
        });
        Ok(api)
    }

    /// The reports so far, in the order of their arrival.
    pub fn calls(&self) -> Vec<UsageCall> {
        self.calls.lock().expect("no thread panicked").clone()
    }
}

fn serve(stream: TcpStream, calls: &Mutex<Vec<UsageCall>>, record: &Record) {
    let Ok(mut write) = stream.try_clone() else { return };
    let mut reader = Reader::new(stream);
    while let Some(request) = reader.read_message() {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let call = UsageCall {
            at: Instant::now(),
            holder: request.header("x-duty-holder").unwrap_or_default().to_owned(),
            token: request.header("x-fencing-token").and_then(|it| it.parse().ok()).unwrap_or(0),
            window: body.get("window_id").as_u64().unwrap_or(0),
            counts: body.get("counts").to_string(),
        };
        let UsageCall { holder, token, window, counts, .. } = &call;
        record.line(format!(
            "control API: {} by {holder}, fencing token {token}, window {window}, counts {counts}",
            request.start
        ));
        calls.lock().expect("no thread panicked").push(call);
        if write.write_all(response(200, &[], "{}").as_bytes()).is_err() {
            return;
        }
    }
}
