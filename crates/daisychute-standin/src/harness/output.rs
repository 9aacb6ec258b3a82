//! The lines that a process writes.

use std::io::{BufRead as _, BufReader, Read};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

/// The lines that a process has written to one of its streams. Clones share them.
#[derive(Debug, Clone, Default)]
pub(super) struct Output {
    written: Arc<Mutex<Written>>,
}

#[derive(Debug, Default)]
struct Written {
    lines: Vec<String>,
    // Invariant: once set no line is added.
    closed: bool,
}

impl Output {
    /// Collects the lines of `stream` until its end.
    pub(super) fn collect(stream: Option<impl Read + Send + 'static>) -> Self {
        let output = Self::default();
        match stream {
            Some(stream) => {
                let output = output.clone();
                thread::spawn(move || output.read(stream));
            }
            None => output.lock().closed = true,
        }
        output
    }

    /// The lines so far.
    pub(super) fn lines(&self) -> Vec<String> {
        self.lock().lines.clone()
    }

    /// Whether all lines that there will be were read.
    pub(super) fn is_closed(&self) -> bool {
        self.lock().closed
    }

    /// What follows `prefix` in the first line that starts with it.
    pub(super) fn after(&self, prefix: &str) -> Option<String> {
        let written = self.lock();
        written.lines.iter().find_map(|it| it.strip_prefix(prefix)).map(|it| it.trim().to_owned())
    }

    fn read(&self, stream: impl Read) {
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            self.lock().lines.push(line);
        }
        self.lock().closed = true;
    }

    fn lock(&self) -> MutexGuard<'_, Written> {
        self.written.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
