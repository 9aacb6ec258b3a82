//! Builder that starts a program as a child process.

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::{env, fs, process};

use super::output::Output;
use super::{HarnessError, Process};

/// File name of the program of this package.
const STANDIN: &str = "daisychute-standin";

/// Number of settings files written by this test process, which makes their names unique.
static SETTINGS_FILE_COUNT: AtomicU64 = AtomicU64::new(0);

/// A program to start, with its arguments and settings.
#[derive(Debug, Clone)]
pub struct Program {
    path: PathBuf,
    args: Vec<String>,
    settings: Option<String>,
}

impl Program {
    /// Creates a builder for the program at `path`.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Self { path: path.into(), args: Vec::new(), settings: None }
    }

    /// Creates a builder for a program of this workspace, in the build directory of the running test.
    ///
    /// # Errors
    ///
    /// The program hasn't been built.
    pub fn built(name: &str) -> Result<Self, HarnessError> {
        let path = build_dir()?.join(name);
        if path.is_file() { Ok(Self::new(path)) } else { Err(HarnessError::NoProgram { path }) }
    }

    /// Creates a builder for a stand-in process that listens on any free port. `subcommand` selects the stand-in.
    ///
    /// # Errors
    ///
    /// The program hasn't been built.
    pub fn standin(subcommand: &str) -> Result<Self, HarnessError> {
        Ok(Self::built(STANDIN)?.args([subcommand, "--listen", "127.0.0.1:0"]))
    }

    /// Adds an argument.
    #[must_use]
    pub fn arg(mut self, arg: impl Into<String>) -> Self {
        self.args.push(arg.into());
        self
    }

    /// Adds arguments.
    #[must_use]
    pub fn args(mut self, args: impl IntoIterator<Item = impl Into<String>>) -> Self {
        self.args.extend(args.into_iter().map(Into::into));
        self
    }

    /// Path of the program.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes `text` to a temporary INI file when the program starts, and passes its path as the last argument.
    #[must_use]
    pub fn settings(mut self, text: impl Into<String>) -> Self {
        self.settings = Some(text.into());
        self
    }

    /// Starts the program.
    ///
    /// # Errors
    ///
    /// The settings can't be written or the program can't be started.
    pub fn start(&self) -> Result<Process, HarnessError> {
        let name = self.name();
        let settings = self.settings.as_deref().map(SettingsFile::write).transpose()?;
        let mut command = Command::new(&self.path);
        command.args(&self.args);
        command.args(settings.as_ref().map(SettingsFile::path));
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = match command.spawn() {
            Ok(child) => child,
            Err(source) => return Err(HarnessError::Start { name, source }),
        };
        let stdout = Output::collect(child.stdout.take());
        let stderr = Output::collect(child.stderr.take());
        Ok(Process::new(name, child, stdout, stderr, settings))
    }

    fn name(&self) -> String {
        let name = self.path.file_name().unwrap_or(self.path.as_os_str());
        name.to_string_lossy().into_owned()
    }
}

/// A temporary INI file, deleted when dropped.
#[derive(Debug)]
pub(super) struct SettingsFile {
    path: PathBuf,
}

impl SettingsFile {
    fn write(text: &str) -> Result<Self, HarnessError> {
        let number = SETTINGS_FILE_COUNT.fetch_add(1, Ordering::Relaxed);
        let file = format!("daisychute-test-{}-{number}.ini", process::id());
        let path = env::temp_dir().join(file);
        match fs::write(&path, text) {
            Ok(()) => Ok(Self { path }),
            Err(source) => Err(HarnessError::Settings { path, source }),
        }
    }

    fn path(&self) -> &Path {
        &self.path
    }

    /// Replaces the text of the file.
    pub(super) fn replace(&self, text: &str) -> Result<(), HarnessError> {
        let written = fs::write(&self.path, text);
        written.map_err(|source| HarnessError::Settings { path: self.path.clone(), source })
    }
}

impl Drop for SettingsFile {
    fn drop(&mut self) {
        if let Err(err) = fs::remove_file(&self.path) {
            log::debug!("{}: {err}", self.path.display());
        }
    }
}

/// Directory of the built programs: the one that contains the running test, or its parent if that is `deps`.
fn build_dir() -> Result<PathBuf, HarnessError> {
    let mut dir = env::current_exe().map_err(HarnessError::NoTarget)?;
    dir.pop();
    if dir.ends_with("deps") {
        dir.pop();
    }
    Ok(dir)
}
