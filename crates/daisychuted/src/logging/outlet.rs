//! Writes log lines to the standard output without ever holding the process up.
//!
//! Lines go into a bounded buffer, which a thread of its own writes out several times a second. While the standard
//! output takes nothing, lines that don't fit are dropped and counted. Ordinary lines have a rate, so that load can't
//! turn into a flood of lines; warnings and errors, which tell of failed requests, have a higher one of their own.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use log::{Level, Record};

/// Bytes that wait for the standard output at most: some seconds of a busy front.
const MOST_BYTES: usize = 512 * 1024;
/// The pause between two writes.
const WRITE_EACH: Duration = Duration::from_millis(200);
/// Ordinary lines in a second: four for each of the requests that a front of 0.2 of a processor serves at its peak.
const ORDINARY_EACH_SECOND: u32 = 1_200;
/// Warnings and errors in a second.
const WARNINGS_EACH_SECOND: u32 = 2_000;
/// The end of a process waits this long for its last lines.
const LAST_WRITE: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct State {
    buf: Vec<u8>,
    // Lines left out since the last summary, by what they say.
    dropped: BTreeMap<String, u64>,
    second: Instant,
    ordinary: u32,
    warnings: u32,
    writing: bool,
}

/// The standard output as the log sees it. Clones share one buffer.
#[derive(Debug, Clone)]
pub(crate) struct Outlet {
    state: Arc<Mutex<State>>,
}

impl Outlet {
    /// Starts the thread that writes.
    pub(crate) fn start() -> Self {
        let state = State {
            buf: Vec::new(),
            dropped: BTreeMap::new(),
            second: Instant::now(),
            ordinary: 0,
            warnings: 0,
            writing: false,
        };
        let outlet = Self { state: Arc::new(Mutex::new(state)) };
        let writer = outlet.clone();
        thread::spawn(move || writer.write_all());
        outlet
    }

    /// Whether a line of this record may be written now. Counts it.
    pub(crate) fn admits(&self, record: &Record<'_>) -> bool {
        let mut state = self.lock();
        if state.second.elapsed() >= Duration::from_secs(1) {
            state.second = Instant::now();
            (state.ordinary, state.warnings) = (0, 0);
        }
        let full = state.buf.len() >= MOST_BYTES;
        let admitted = if record.level() <= Level::Warn {
            state.warnings += 1;
            !full && state.warnings <= WARNINGS_EACH_SECOND
        } else {
            state.ordinary += 1;
            // The last quarter of the buffer is kept for failures.
            state.buf.len() < MOST_BYTES / 4 * 3 && state.ordinary <= ORDINARY_EACH_SECOND
        };
        if !admitted {
            *state.dropped.entry(record.args().to_string()).or_default() += 1;
        }
        admitted
    }

    /// Takes a line in.
    pub(crate) fn push(&self, line: &str) {
        let mut state = self.lock();
        state.buf.extend_from_slice(line.as_bytes());
        state.buf.push(b'\n');
    }

    /// The lines that were left out since the last call, by what they say.
    pub(crate) fn take_dropped(&self) -> BTreeMap<String, u64> {
        std::mem::take(&mut self.lock().dropped)
    }

    /// Waits a moment until all lines are written.
    pub(crate) fn finish(&self) {
        let until = Instant::now() + LAST_WRITE;
        while Instant::now() < until && !self.is_empty() {
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn is_empty(&self) -> bool {
        let state = self.lock();
        state.buf.is_empty() && !state.writing
    }

    fn write_all(&self) {
        let mut out = std::io::stdout();
        loop {
            thread::sleep(WRITE_EACH);
            let buf = {
                let mut state = self.lock();
                state.writing = !state.buf.is_empty();
                std::mem::take(&mut state.buf)
            };
            // A closed standard output leaves nobody to tell.
            let _ = out.write_all(&buf).and_then(|()| out.flush());
            self.lock().writing = false;
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        // A panic elsewhere leaves the buffer as it is, which is good enough for a log.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
