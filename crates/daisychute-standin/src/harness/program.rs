//! A program to be started.

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::{env, fs, process};

use super::output::Output;
use super::{HarnessError, Process};

/// The name of this package's own program.
const STANDIN: &str = "daisychute-standin";

/// Counts the settings files of this test process.
static SETTINGS_FILES: AtomicU64 = AtomicU64::new(0);

/// A program with its arguments and settings, to be started.
#[derive(Debug, Clone)]
pub struct Program {
    path: PathBuf,
    args: Vec<String>,
    settings: Option<String>,
}

impl Program {
    /// The program at `path`.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Self { path: path.into(), args: Vec::new(), settings: None }
    }

    /// A program of this workspace, which was built beside the running test.
    ///
    /// # Errors
    ///
    /// It was not built.
    pub fn built(name: &str) -> Result<Self, HarnessError> {
        let path = target_dir()?.join(name);
        if path.is_file() { Ok(Self::new(path)) } else { Err(HarnessError::NoProgram { path }) }
    }

    /// The program of this package, for one stand-in that listens on any free port.
    ///
    /// # Errors
    ///
    /// It was not built.
    pub fn standin(subcommand: &str) -> Result<Self, HarnessError> {
        Ok(Self::built(STANDIN)?.args([subcommand, "--listen", "127.0.0.1:0"]))
    }

    /// The same program with one more argument.
    #[must_use]
    pub fn arg(mut self, arg: impl Into<String>) -> Self {
        self.args.push(arg.into());
        self
    }

    /// The same program with more arguments.
    #[must_use]
    pub fn args(mut self, args: impl IntoIterator<Item = impl Into<String>>) -> Self {
        self.args.extend(args.into_iter().map(Into::into));
        self
    }

    /// Where the program is.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The same program with the path of an INI file of this text as its last argument.
    #[must_use]
    pub fn settings(mut self, text: impl Into<String>) -> Self {
        self.settings = Some(text.into());
        self
    }

    /// Starts it.
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

/// An INI file that lasts as long as the process that reads it.
#[derive(Debug)]
pub(super) struct SettingsFile {
    path: PathBuf,
}

impl SettingsFile {
    fn write(text: &str) -> Result<Self, HarnessError> {
        let number = SETTINGS_FILES.fetch_add(1, Ordering::Relaxed);
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
}

impl Drop for SettingsFile {
    fn drop(&mut self) {
        if let Err(err) = fs::remove_file(&self.path) {
            log::debug!("{}: {err}", self.path.display());
        }
    }
}

/// The directory of the built programs: that of the running test, without the `deps` below it.
fn target_dir() -> Result<PathBuf, HarnessError> {
    let mut dir = env::current_exe().map_err(HarnessError::NoTarget)?;
    dir.pop();
    if dir.ends_with("deps") {
        dir.pop();
    }
    Ok(dir)
}
