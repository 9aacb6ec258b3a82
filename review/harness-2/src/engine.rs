//! Worker processes that stream.

use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::json::Json;
use crate::proxy::Link;
use crate::{free_addresses, wall_clock};

/// Number of events of each stream.
pub const EVENTS: u32 = 12;
/// Time between two events.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(200);
/// The program, which `review/build-2.sh` builds.
const PROGRAM: &str = "target/review-2/release/engine";

/// A worker machine, on which the process runs or not. The worker's id and address stay.
pub struct Engine {
    pub id: String,
    /// Address of the link to the process, under which it registers.
    pub address: SocketAddr,
    pub link: Link,
    process_address: SocketAddr,
    log: PathBuf,
    born: u128,
    process: Option<Child>,
}

impl Engine {
    pub fn new(dir: &Path, id: &str) -> io::Result<Self> {
        let [process_address] = free_addresses();
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let link = Link::start(listener, process_address);
        let log = dir.join(format!("{id}.log"));
        Ok(Self { id: id.to_owned(), address, link, process_address, log, born: 0, process: None })
    }

    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        self.born = wall_clock().as_millis();
        let mut command = Command::new(PROGRAM);
        command
            .arg(&self.id)
            .arg(self.process_address.to_string())
            .stdin(Stdio::null())
            .stdout(log);
        self.process = Some(command.spawn()?);
        Ok(())
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// What the processes have printed.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// The entry of the worker in the store.
    pub fn entry(&self, service: &str, sequence: u64) -> Json {
        let Self { address, born, .. } = self;
        let text = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"ahd-a","version":"v1","slots":48,"state":"ready",
            "stage":"decode","cold_left_ms":0,"sequence":{sequence},"born":{born}}}"#
        );
        Json::parse(&text).expect("valid JSON")
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.kill();
    }
}
