//! Child processes of a test.

use std::net::SocketAddr;
use std::process::{Child, ExitStatus};
use std::time::Duration;

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;

use super::output::Output;
use super::program::SettingsFile;
use super::{HarnessError, wait_for};

/// Start of the line that a program prints before its listen address.
const LISTENING_PREFIX: &str = "listening ";

/// A child process. Dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    stdout: Output,
    stderr: Output,
    settings: Option<SettingsFile>,
}

impl Process {
    pub(super) fn new(
        name: String,
        child: Child,
        stdout: Output,
        stderr: Output,
        settings: Option<SettingsFile>,
    ) -> Self {
        Self { name, child, stdout, stderr, settings }
    }

    /// Process id of the child.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Lines written to standard output so far.
    #[must_use]
    pub fn stdout(&self) -> Vec<String> {
        self.stdout.lines()
    }

    /// Lines written to standard error so far.
    #[must_use]
    pub fn stderr(&self) -> Vec<String> {
        self.stderr.lines()
    }

    /// Kills the process (`SIGKILL`).
    ///
    /// # Errors
    ///
    /// The process has exited already, or the signal can't be sent.
    pub fn kill(&mut self) -> Result<(), HarnessError> {
        self.signal(Signal::SIGKILL)
    }

    /// Pauses the process (`SIGSTOP`).
    ///
    /// # Errors
    ///
    /// The process has exited already, or the signal can't be sent.
    pub fn pause(&mut self) -> Result<(), HarnessError> {
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes a paused process (`SIGCONT`).
    ///
    /// # Errors
    ///
    /// The process has exited already, or the signal can't be sent.
    pub fn resume(&mut self) -> Result<(), HarnessError> {
        self.signal(Signal::SIGCONT)
    }

    /// Requests the process to stop (`SIGTERM`).
    ///
    /// # Errors
    ///
    /// The process has exited already, or the signal can't be sent.
    pub fn terminate(&mut self) -> Result<(), HarnessError> {
        self.signal(Signal::SIGTERM)
    }

    /// Tells the process that its settings file has changed (`SIGHUP`).
    ///
    /// # Errors
    ///
    /// The process has exited already, or the signal can't be sent.
    pub fn hang_up(&mut self) -> Result<(), HarnessError> {
        self.signal(Signal::SIGHUP)
    }

    /// Replaces the text of the settings file that the process was started with, if it has one. The process isn't told.
    ///
    /// # Errors
    ///
    /// The file can't be written.
    pub fn replace_settings(&self, text: &str) -> Result<(), HarnessError> {
        self.settings.as_ref().map_or(Ok(()), |it| it.replace(text))
    }

    /// Exit status of the process; `None` while it runs.
    ///
    /// # Errors
    ///
    /// The exit status can't be read.
    pub fn exit_status(&mut self) -> Result<Option<ExitStatus>, HarnessError> {
        let status = self.child.try_wait();
        status.map_err(|source| HarnessError::Wait { name: self.name.clone(), source })
    }

    /// Waits until the process has exited and all of its output has been read.
    ///
    /// # Errors
    ///
    /// The process still runs, or its output isn't closed, after `limit`.
    pub async fn wait_exit(&mut self, limit: Duration) -> Result<ExitStatus, HarnessError> {
        let what = format!("{} to exit", self.name);
        wait_for(&what, limit, async || self.final_status().transpose()).await?
    }

    /// Waits for the line `listening ADDRESS` on standard output and returns the address.
    ///
    /// # Errors
    ///
    /// No such line appears within `limit`, or the process exits first.
    pub async fn wait_listening(&mut self, limit: Duration) -> Result<SocketAddr, HarnessError> {
        self.wait_address(LISTENING_PREFIX, limit).await
    }

    /// Waits for a line on standard output that starts with `prefix`, and parses the rest of it as a socket address.
    ///
    /// # Errors
    ///
    /// No such line appears within `limit`, or the process exits first.
    pub async fn wait_address(
        &mut self,
        prefix: &str,
        limit: Duration,
    ) -> Result<SocketAddr, HarnessError> {
        let line = self.wait_line(prefix, limit).await?;
        line.parse().map_err(|_| HarnessError::NoAddress { line })
    }

    /// Waits for a line on standard output that starts with `prefix`, and returns the rest of the line.
    ///
    /// # Errors
    ///
    /// No such line appears within `limit`, or the process exits first.
    pub async fn wait_line(
        &mut self,
        prefix: &str,
        limit: Duration,
    ) -> Result<String, HarnessError> {
        let what = format!("a line of {} that starts with {prefix:?}", self.name);
        wait_for(&what, limit, async || self.find_line(prefix).transpose()).await?
    }

    /// Exit status, once the process has exited and all of its output has been read.
    fn final_status(&mut self) -> Result<Option<ExitStatus>, HarnessError> {
        let output_read = self.stdout.is_closed() && self.stderr.is_closed();
        if output_read { self.exit_status() } else { Ok(None) }
    }

    fn find_line(&mut self, prefix: &str) -> Result<Option<String>, HarnessError> {
        let status = self.final_status()?;
        if let Some(line) = self.stdout.find_after(prefix) {
            return Ok(Some(line));
        }
        match status {
            Some(status) => Err(self.exited_error(status)),
            None => Ok(None),
        }
    }

    fn exited_error(&self, status: ExitStatus) -> HarnessError {
        let stderr = self.stderr().join("\n");
        HarnessError::Ended { name: self.name.clone(), status, stderr }
    }

    fn signal(&mut self, signal: Signal) -> Result<(), HarnessError> {
        if let Some(status) = self.exit_status()? {
            return Err(self.exited_error(status));
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
