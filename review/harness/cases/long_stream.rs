//! A front is stopped. Streams arrive on connections that were open before, one of them longer than those of late.

use std::net::SocketAddr;
use std::time::Instant;

use super::*;

/// Figures of the sheet of Rabat-Salé and of its site file for `daily-digest`.
const GRACE: f64 = 8.0;
const TIMEOUT_MS: u32 = 5_000;
const USUAL_EVENTS: u32 = 11;
const LONG_EVENTS: u32 = 40;
const MAX_EVENTS: u32 = 43;
/// Pause before each event, below the 150 ms that are still on time.
const PAUSE: Duration = Duration::from_millis(118);
const FRONTS: usize = 4;
/// Connections to the front that is stopped, each with one stream after the other.
const CONNECTIONS: usize = 8;
/// Time for which they are in use before the stop, and idle until it.
const IN_USE: Duration = Duration::from_secs(16);
const IDLE: Duration = Duration::from_millis(500);
/// When the next streams are sent on them, after the stop: first and interval.
const SENT_AFTER: Duration = Duration::from_millis(3_060);
const SENT_EACH: Duration = Duration::from_millis(20);
/// Which of them is long.
const LONG: usize = 3;
const PATH: &str = "/lohu930/";

/// How a request of a client ended.
struct End {
    sent_after_stop: f64,
    outcome: String,
    lost: bool,
}

pub fn run(cx: &Context) -> Result<bool, Error> {
    let record = cx.record()?;
    let store = Store::start(&record)?;
    let behaviour = Behaviour::Stream { events: USUAL_EVENTS, long: LONG_EVENTS, pause: PAUSE };
    let mut workers = Vec::new();
    for id in ["i-1", "i-2", "i-3"] {
        let worker = Worker::start(id, "lm", "1.0", behaviour, &record)?;
        store.put("servers", id, &worker.entry("ready"));
        workers.push(worker);
    }
    let route = Route {
        name: "daily-digest",
        path: PATH,
        kind: "streaming",
        service: "lm",
        attempts: 2,
        timeout_ms: TIMEOUT_MS,
        goal_ms: 600,
    };
    store.put("config", "main", &configuration(10, &[route], &["lm"], 4_194_304));
    let settings = Settings { memory_mb: 260, store: store.address() };
    let fronts = cx.start_fronts(FRONTS, &settings)?;
    record.tell(format!("{FRONTS} fronts are ready"));

    let address = fronts[0].addresses.callers;
    let stop_at = Instant::now() + IN_USE + IDLE;
    let clients: Vec<_> = (0..CONNECTIONS)
        .map(|index| {
            let record = record.clone();
            thread::spawn(move || client(&record, address, index, stop_at))
        })
        .collect();
    thread::sleep(stop_at.saturating_duration_since(Instant::now()));
    if cx.trouble {
        record.tell(format!("SIGTERM of front 0, which has {GRACE} s"));
        fronts[0].terminate()?;
    }
    let mut lost = 0;
    for (index, client) in clients.into_iter().enumerate() {
        let end = client
            .join()
            .map_err(|_| "a client failed")?
            .ok_or("a stream failed before the stop")?;
        let length = if index == LONG { LONG_EVENTS } else { USUAL_EVENTS };
        record.tell(format!(
            "stream {index} of {length} events, sent {:.2} s after the stop: {}",
            end.sent_after_stop, end.outcome
        ));
        if end.lost && end.sent_after_stop <= 3.0 {
            return Err("a stream was sent too early to count".into());
        }
        lost += usize::from(end.lost);
    }
    record.tell(format!("{lost} of {CONNECTIONS} streams ended without a complete answer"));
    record.tell(if lost == 0 { "LOST held" } else { "LOST broken" });
    Ok(lost == 0)
}

/// Uses a connection for streams until shortly before the stop, and once more after it. `None` if a stream before the stop
/// isn't complete.
fn client(record: &Record, address: SocketAddr, index: usize, stop_at: Instant) -> Option<End> {
    let mut connection = http::Connection::open(address).ok()?;
    let limit = Duration::from_secs(10);
    connection.stream.set_read_timeout(Some(limit)).ok()?;
    let time_of_a_stream = PAUSE * USUAL_EVENTS + Duration::from_millis(300);
    let mut number = 0;
    thread::sleep(Duration::from_millis(37) * index as u32);
    while Instant::now() + time_of_a_stream + IDLE < stop_at {
        number += 1;
        let answer =
            stream(&mut connection, &format!("{index:04x}{number:012x}"), "usual").ok()??;
        if answer.status() != 200 || !answer.whole {
            return None;
        }
        thread::sleep(Duration::from_millis(200));
    }
    let send_at = stop_at + SENT_AFTER + SENT_EACH * index as u32;
    thread::sleep(send_at.saturating_duration_since(Instant::now()));
    let sent_after_stop = stop_at.elapsed().as_secs_f64();
    let id = format!("{index:04x}{:012x}", 0xffff);
    let answer = stream(&mut connection, &id, if index == LONG { "long" } else { "usual" });
    let ended_after = stop_at.elapsed().as_secs_f64();
    let (outcome, lost) = match answer {
        Ok(Some(it)) if it.whole => {
            (format!("{}, complete, {ended_after:.2} s after the stop", it.status()), false)
        }
        Ok(Some(it)) => {
            let events = it.text().matches("data: ").count();
            (
                format!(
                    "{}, cut after {events} events, {ended_after:.2} s after the stop",
                    it.status()
                ),
                true,
            )
        }
        // The connection was closed before the request was read; the client sends it elsewhere.
        Ok(None) | Err(_) => {
            (format!("closed without an answer, {ended_after:.2} s after the stop"), false)
        }
    };
    record.line(format!("client: {id} sent {sent_after_stop:.3} s after the stop: {outcome}"));
    Some(End { sent_after_stop, outcome, lost })
}

fn stream(
    connection: &mut http::Connection,
    id: &str,
    length: &str,
) -> std::io::Result<Option<http::Message>> {
    let body = format!("{length} {id}");
    let request = format!(
        "POST {PATH}2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {TIMEOUT_MS}\r\nX-Model: m\r\n\
         X-Token-Count: 400,{MAX_EVENTS}\r\nX-Prompt-Prefix: a0:200,{id}:200\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    connection.write(request.as_bytes())?;
    connection.read()
}
