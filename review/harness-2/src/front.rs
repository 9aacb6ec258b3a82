//! A front: the project's daemon as a separate process, started by the command of the deploy file.

use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::free_addresses;
use crate::http::call;

/// The program of the deploy file.
const PROGRAM: &str = "target/release/daisychuted";

/// A front machine, on which the daemon runs or not. Its addresses stay.
pub struct Front {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub snapshots: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

impl Front {
    /// Prepares a machine. `sections` are the sections of the settings beside `[front]`, as `platform/front.ini` has them.
    pub fn new(dir: &Path, name: &str, sections: &str) -> io::Result<Self> {
        let [callers, ready, inner, snapshots, metrics] = free_addresses();
        let text = format!(
            "[front]\nname = {name}\nregion = guj-west\ndata-centre = ahd-a\ncallers = {callers}\nready = {ready}\n\
             inner = {inner}\nsnapshots = {snapshots}\nmetrics = {metrics}\nseeds = SEEDS\n\n{sections}\n[log]\nformat = json\n"
        );
        let (settings, log) = (dir.join(format!("{name}.ini")), dir.join(format!("{name}.log")));
        fs::write(&settings, text)?;
        Ok(Self { name: name.to_owned(), callers, ready, snapshots, settings, log, process: None })
    }

    /// Sets the seeds, which are known once all machines are.
    pub fn set_seeds(&self, seeds: &[SocketAddr]) -> io::Result<()> {
        let seeds: Vec<_> = seeds.iter().map(ToString::to_string).collect();
        let text = fs::read_to_string(&self.settings)?.replace("SEEDS", &seeds.join(","));
        fs::write(&self.settings, text)
    }

    /// Starts the daemon.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(PROGRAM)
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.process = Some(child);
        Ok(())
    }

    /// Whether the daemon says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = "GET /api/readiness HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n";
        call(self.ready, request, Duration::from_secs(1)).is_ok_and(|it| it.status() == 200)
    }

    /// Waits until the daemon is ready. Returns whether it is.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        wait_until(limit, || self.is_ready())
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, signal: &str) {
        if let Some(process) = &self.process {
            let command = format!("kill -{signal} {}", process.id());
            let _ = Command::new("sh").args(["-c", &command]).status();
        }
    }

    /// Whether the daemon has ended.
    pub fn has_ended(&mut self) -> bool {
        self.process.as_mut().is_none_or(|it| matches!(it.try_wait(), Ok(Some(_))))
    }

    /// Waits until the daemon has ended, and kills it after `limit`.
    pub fn wait_ended(&mut self, limit: Duration) {
        if !wait_until(limit, || self.has_ended()) {
            self.kill();
        }
        self.process = None;
    }

    /// Kills the daemon.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Polls a condition. Returns whether it held in time.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        thread::sleep(Duration::from_millis(5));
    }
}
