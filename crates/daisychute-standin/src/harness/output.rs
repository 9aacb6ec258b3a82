//! The lines that a process writes.

use std::io::{BufRead as _, BufReader, Read};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

/// The lines that a process has written to one of its streams. Clones share them.
#[derive(Debug, Clone, Default)]
pub(super) struct Output {
    lines: Arc<Mutex<Vec<String>>>,
}

impl Output {
    /// Collects the lines of `stream` until its end.
    pub(super) fn collect(stream: Option<impl Read + Send + 'static>) -> Self {
        let output = Self::default();
        if let Some(stream) = stream {
            let output = output.clone();
            thread::spawn(move || output.read(stream));
        }
        output
    }

    /// The lines so far.
    pub(super) fn lines(&self) -> Vec<String> {
        self.lock().clone()
    }

    /// What follows `prefix` in the first line that starts with it.
    pub(super) fn after(&self, prefix: &str) -> Option<String> {
        let lines = self.lock();
        lines.iter().find_map(|it| it.strip_prefix(prefix)).map(|it| it.trim().to_owned())
    }

    fn read(&self, stream: impl Read) {
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            self.lock().push(line);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<String>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
