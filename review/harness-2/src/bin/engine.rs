//! A decode worker as a process of its own: ID ADDRESS. It streams events without length and chunks, so that the end of the
//! connection ends the answer. It prints what it runs.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use review_2::engine::{EVENT_INTERVAL, EVENTS};
use review_2::http::{Reader, response};

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(id), Some(address)) = (args.next(), args.next()) else { std::process::exit(2) };
    let listener = TcpListener::bind(address).expect("the address is free");
    for stream in listener.incoming().flatten() {
        let id = id.clone();
        thread::spawn(move || serve(stream, &id));
    }
}

fn serve(stream: TcpStream, id: &str) {
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
        } else if request.path() == "/api/kv-list" {
            response(200, &[], r#"{"epoch":1,"next_token":0,"held":[]}"#)
        } else {
            return run(&mut write, attempt);
        };
        if write.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// Runs a request, and closes the connection after the last event.
fn run(write: &mut TcpStream, attempt: &str) {
    println!("runs {attempt}");
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: 3e1b.07.5a2\r\n\
         Connection: close\r\n\r\n"
    );
    let mut sent = write.write_all(head.as_bytes());
    for number in 1..=EVENTS {
        if sent.is_err() {
            println!("stops {attempt}");
            return;
        }
        thread::sleep(EVENT_INTERVAL.min(Duration::from_secs(1)));
        let event = format!("id: {number}\ndata: {attempt}-{number}\n\n");
        sent = write.write_all(event.as_bytes());
        println!("event {number} of {attempt}");
    }
}
