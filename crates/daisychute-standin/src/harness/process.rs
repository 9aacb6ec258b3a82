//! A running process.

use std::net::SocketAddr;
use std::process::{Child, ExitStatus};
use std::time::Duration;

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;

use super::output::Output;
use super::program::SettingsFile;
use super::{HarnessError, wait_for};

/// What a program writes before the address that it listens on.
const LISTENING: &str = "listening ";

/// A running process. Dropping it kills it.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    stdout: Output,
    stderr: Output,
    _settings: Option<SettingsFile>,
}

impl Process {
    pub(super) fn new(
        name: String,
        child: Child,
        stdout: Output,
        stderr: Output,
        settings: Option<SettingsFile>,
    ) -> Self {
        Self { name, child, stdout, stderr, _settings: settings }
    }

    /// Its process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The lines that it has written to its standard output.
    #[must_use]
    pub fn stdout(&self) -> Vec<String> {
        self.stdout.lines()
    }

    /// The lines that it has written to its standard error.
    #[must_use]
    pub fn stderr(&self) -> Vec<String> {
        self.stderr.lines()
    }

    /// Kills it (`SIGKILL`).
    ///
    /// # Errors
    ///
    /// The signal can't be sent.
    pub fn kill(&mut self) -> Result<(), HarnessError> {
        self.signal(Signal::SIGKILL)
    }

    /// Pauses it (`SIGSTOP`).
    ///
    /// # Errors
    ///
    /// The signal can't be sent.
    pub fn pause(&mut self) -> Result<(), HarnessError> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets a paused process go on (`SIGCONT`).
    ///
    /// # Errors
    ///
    /// The signal can't be sent.
    pub fn resume(&mut self) -> Result<(), HarnessError> {
        self.signal(Signal::SIGCONT)
    }

    /// Asks it to stop (`SIGTERM`).
    ///
    /// # Errors
    ///
    /// The signal can't be sent.
    pub fn terminate(&mut self) -> Result<(), HarnessError> {
        self.signal(Signal::SIGTERM)
    }

    /// How it ended; none while it runs.
    ///
    /// # Errors
    ///
    /// It can't be waited for.
    pub fn exit_status(&mut self) -> Result<Option<ExitStatus>, HarnessError> {
        let ended = self.child.try_wait();
        ended.map_err(|source| HarnessError::Wait { name: self.name.clone(), source })
    }

    /// Waits until it has ended and all that it wrote was read.
    ///
    /// # Errors
    ///
    /// It runs on after `limit`.
    pub async fn wait_exit(&mut self, limit: Duration) -> Result<ExitStatus, HarnessError> {
        let what = format!("{} ends", self.name);
        wait_for(&what, limit, async || self.whole_end().transpose()).await?
    }

    /// Waits for the address in its line `listening ADDRESS`.
    ///
    /// # Errors
    ///
    /// There is no such line within `limit`, or it ended before.
    pub async fn wait_listening(&mut self, limit: Duration) -> Result<SocketAddr, HarnessError> {
        self.wait_address(LISTENING, limit).await
    }

    /// Waits for the address that follows `prefix` in a line of its standard output.
    ///
    /// # Errors
    ///
    /// There is no such line within `limit`, or it ended before.
    pub async fn wait_address(
        &mut self,
        prefix: &str,
        limit: Duration,
    ) -> Result<SocketAddr, HarnessError> {
        let line = self.wait_line(prefix, limit).await?;
        line.parse().map_err(|_| HarnessError::NoAddress { line })
    }

    /// Waits for a line of its standard output that starts with `prefix`, and returns the rest of the line.
    ///
    /// # Errors
    ///
    /// There is no such line within `limit`, or it ended before.
    pub async fn wait_line(
        &mut self,
        prefix: &str,
        limit: Duration,
    ) -> Result<String, HarnessError> {
        let what = format!("a line {prefix:?} of {}", self.name);
        wait_for(&what, limit, async || self.find_line(prefix).transpose()).await?
    }

    /// How it ended, once all that it wrote was read.
    fn whole_end(&mut self) -> Result<Option<ExitStatus>, HarnessError> {
        let read = self.stdout.is_closed() && self.stderr.is_closed();
        if read { self.exit_status() } else { Ok(None) }
    }

    fn find_line(&mut self, prefix: &str) -> Result<Option<String>, HarnessError> {
        let ended = self.whole_end()?;
        if let Some(line) = self.stdout.after(prefix) {
            return Ok(Some(line));
        }
        match ended {
            Some(status) => Err(self.ended(status)),
            None => Ok(None),
        }
    }

    fn ended(&self, status: ExitStatus) -> HarnessError {
        let stderr = self.stderr().join("\n");
        HarnessError::Ended { name: self.name.clone(), status, stderr }
    }

    fn signal(&mut self, signal: Signal) -> Result<(), HarnessError> {
        if let Some(status) = self.exit_status()? {
            return Err(self.ended(status));
        }
        let pid = Pid::from_raw(self.child.id().cast_signed());
        let sent = signal::kill(pid, signal);
        sent.map_err(|source| HarnessError::Signal { name: self.name.clone(), source })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Err(err) = self.child.kill() {
            log::debug!("{}: {err}", self.name);
        }
        if let Err(err) = self.child.wait() {
            log::debug!("{}: {err}", self.name);
        }
    }
}
