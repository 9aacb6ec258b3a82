//! Starts a stand-in of the platform and an entry with fixed responses, and runs the client against them.

use std::fmt::Display;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::{fs, thread};

use actix_rt::task::spawn_blocking;
use daisychute_standin::Platform;
use daisychute_standin::harness::ANY_PORT;
use daisychute_standin::platform::PlatformConfig;
use serde_json::Value;

/// Defines tests whose bodies run in an actix system.
macro_rules! async_tests {
    ($(async fn $name:ident() $body:block)*) => {$(
        #[test]
        fn $name() {
            actix_rt::System::new().block_on(async $body);
        }
    )*};
}

const DEPLOYMENT: &str = "rabat-sale";
const REGION: &str = "morocco";

/// Exit code and output of one run of the client.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) code: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

/// The client program with options for every run.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    options: Vec<String>,
}

impl Client {
    /// A client without the URL of a platform.
    pub(crate) fn new() -> Self {
        let options = ["--deployment", DEPLOYMENT, "--region", REGION];
        Self { options: options.map(str::to_owned).to_vec() }
    }

    pub(crate) fn option(mut self, name: &str, value: impl Display) -> Self {
        self.options.extend([name.to_owned(), value.to_string()]);
        self
    }

    /// Runs the client to its end, on another thread, so that the stand-ins of the test can respond.
    pub(crate) async fn run(&self, args: &[&str]) -> Run {
        let mut command = Command::new(env!("CARGO_BIN_EXE_daisychute"));
        command.args(&self.options).args(args);
        command.current_dir(env!("CARGO_TARGET_TMPDIR")).env_remove("COLUMNS");
        let output = spawn_blocking(move || command.output()).await.expect("the task ends");
        let output = output.expect("the client runs");
        let text = |it: Vec<u8>| redact(&String::from_utf8(it).expect("the client writes text"));
        let code = output.status.code().expect("the client exits without a signal");
        Run { code, stdout: text(output.stdout), stderr: text(output.stderr) }
    }
}

impl Run {
    /// Exit code and output as one text, for snapshots and failed assertions.
    pub(crate) fn shown(&self) -> String {
        format!("exit {}\n--- stdout\n{}--- stderr\n{}", self.code, self.stdout, self.stderr)
    }

    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|_| panic!("{}", self.shown()))
    }
}

/// Replaces each time by a fixed one of the same width.
fn redact(text: &str) -> String {
    const TIME: &str = "2000-01-01T00:00:00Z";
    let mut shown = text.to_owned();
    for word in text.split(|c: char| c.is_whitespace() || c == '"') {
        if humantime::parse_rfc3339(word).is_ok() {
            shown = shown.replace(word, TIME);
        }
    }
    shown
}

/// Starts a platform without faults. Returns it with a client that has its URL.
pub(crate) async fn platform() -> (Platform, Client) {
    let platform =
        Platform::start(ANY_PORT, PlatformConfig::default()).await.expect("the platform starts");
    let url = format!("http://{}", platform.local_addr());
    (platform, Client::new().option("--platform", url))
}

/// Writes a file to the directory that the client runs in, and returns its name.
pub(crate) fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(path, text).expect("the file is written");
    name.to_owned()
}

/// Starts an entry that responds to each path with its JSON, and to others with 404.
pub(crate) fn entry(responses: Vec<(&'static str, Value)>) -> SocketAddr {
    serve(move |path| match responses.iter().find(|(it, _)| *it == path) {
        Some((_, body)) => ("200 OK", body.to_string()),
        None => ("404 Not Found", String::new()),
    })
}

/// Starts an entry that responds to every path with this status.
pub(crate) fn refusing_entry(status: &'static str) -> SocketAddr {
    serve(move |_| (status, String::new()))
}

fn serve(respond_to: impl Fn(&str) -> (&'static str, String) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).expect("a port is free");
    let addr = listener.local_addr().expect("the listener has an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // The client may disconnect early, which is no failure of the entry.
            let _ = respond(stream, &respond_to);
        }
    });
    addr
}

fn respond(
    mut stream: TcpStream,
    respond_to: impl Fn(&str) -> (&'static str, String),
) -> std::io::Result<()> {
    let mut lines = BufReader::new(stream.try_clone()?).lines();
    let request = lines.next().unwrap_or(Ok(String::new()))?;
    while lines.next().transpose()?.is_some_and(|it| !it.is_empty()) {}
    let (status, body) = respond_to(request.split(' ').nth(1).unwrap_or_default());
    let len = body.len();
    write!(stream, "HTTP/1.1 {status}\r\ncontent-length: {len}\r\nconnection: close\r\n\r\n{body}")
}
