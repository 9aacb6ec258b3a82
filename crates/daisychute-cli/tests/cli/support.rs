//! A platform stand-in, an entry that answers from a table, and the client run against them.

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

/// Tests that run in an actix system.
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

/// How one run of the client ended.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) code: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

/// A client with its options.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    options: Vec<String>,
}

impl Client {
    /// A client that knows no platform.
    pub(crate) fn new() -> Self {
        let options = ["--deployment", DEPLOYMENT, "--region", REGION];
        Self { options: options.map(str::to_owned).to_vec() }
    }

    pub(crate) fn option(mut self, name: &str, value: impl Display) -> Self {
        self.options.extend([name.to_owned(), value.to_string()]);
        self
    }

    /// Runs it to its end, while the stand-ins of the test go on.
    pub(crate) async fn run(&self, args: &[&str]) -> Run {
        let mut command = Command::new(env!("CARGO_BIN_EXE_daisychute"));
        command.args(&self.options).args(args);
        command.current_dir(env!("CARGO_TARGET_TMPDIR")).env_remove("COLUMNS");
        let output = spawn_blocking(move || command.output()).await.expect("the task ends");
        let output = output.expect("the client runs");
        let text = |it: Vec<u8>| redact(&String::from_utf8(it).expect("the client writes text"));
        let code = output.status.code().expect("the client ends by itself");
        Run { code, stdout: text(output.stdout), stderr: text(output.stderr) }
    }
}

impl Run {
    /// The code, and what was written.
    pub(crate) fn shown(&self) -> String {
        format!("exit {}\n--- stdout\n{}--- stderr\n{}", self.code, self.stdout, self.stderr)
    }

    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|_| panic!("{}", self.shown()))
    }
}

/// Puts a fixed text of the same width in place of each time.
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

/// A running platform, and a client that knows it.
pub(crate) async fn platform() -> (Platform, Client) {
    let platform = Platform::start(ANY_PORT, PlatformConfig::default()).await.expect("it starts");
    let url = format!("http://{}", platform.local_addr());
    (platform, Client::new().option("--platform", url))
}

/// Writes a file of this text, in the directory that the client runs in.
pub(crate) fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(path, text).expect("the file is written");
    name.to_owned()
}

/// Starts an entry that answers each path with its JSON and everything else with 404.
pub(crate) fn entry(answers: Vec<(&'static str, Value)>) -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).expect("a port is free");
    let addr = listener.local_addr().expect("it has an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // A client that went away is no failure of the entry.
            let _ = answer(stream, &answers);
        }
    });
    addr
}

fn answer(mut stream: TcpStream, answers: &[(&str, Value)]) -> std::io::Result<()> {
    let mut lines = BufReader::new(stream.try_clone()?).lines();
    let request = lines.next().unwrap_or(Ok(String::new()))?;
    while lines.next().transpose()?.is_some_and(|it| !it.is_empty()) {}
    let path = request.split(' ').nth(1).unwrap_or_default();
    let found = answers.iter().find(|(it, _)| *it == path);
    let (status, body) = match found {
        Some((_, body)) => ("200 OK", body.to_string()),
        None => ("404 Not Found", String::new()),
    };
    let len = body.len();
    write!(stream, "HTTP/1.1 {status}\r\ncontent-length: {len}\r\nconnection: close\r\n\r\n{body}")
}
