//! Output lines of a child process.

use std::io::{BufRead as _, BufReader, Read};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

/// Lines that a process has written to one of its output streams so far. Clones share them.
#[derive(Debug, Clone, Default)]
pub(super) struct Output {
    lines: Arc<Mutex<Lines>>,
}

#[derive(Debug, Default)]
struct Lines {
    read: Vec<String>,
    // Invariant: no line is added once this is set.
    closed: bool,
}

impl Output {
    /// Collects the lines of `stream` on a thread until its end. `None` gives closed, empty output.
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

    /// Lines read so far.
    pub(super) fn lines(&self) -> Vec<String> {
        self.lock().read.clone()
    }

    /// Whether the stream has ended, so that no more lines will follow.
    pub(super) fn is_closed(&self) -> bool {
        self.lock().closed
    }

    /// Returns the rest of the first line that starts with `prefix`.
    pub(super) fn find_after(&self, prefix: &str) -> Option<String> {
        let lines = self.lock();
        lines.read.iter().find_map(|it| it.strip_prefix(prefix)).map(|it| it.trim().to_owned())
    }

    fn read(&self, stream: impl Read) {
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            self.lock().read.push(line);
        }
        self.lock().closed = true;
    }

    fn lock(&self) -> MutexGuard<'_, Lines> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
