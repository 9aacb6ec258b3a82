//! Writes log lines to standard output without ever blocking the process.
//!
//! Lines go into a bounded buffer, which a dedicated thread writes out several times a second, and before it is full.
//! While standard output is blocked, lines that don't fit are dropped and counted. Ordinary lines are rate limited, so
//! that the log volume doesn't grow with the load. Warnings and errors, which report failed requests, have a higher
//! limit of their own.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use log::{Level, Record};

/// Maximum size of the buffer: some seconds of log lines of a busy front.
const MAX_BUFFERED_BYTES: usize = 512 * 1024;
/// Size of the buffer at which it is written out at once, so that a burst of lines fits in.
const WAKE_BYTES: usize = MAX_BUFFERED_BYTES / 8;
/// Maximum time between writes of the buffer.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum ordinary lines per second: four for each request that a front with 0.2 processors serves at its peak.
const MAX_ORDINARY_PER_SECOND: u32 = 1_200;
/// Maximum warnings and errors per second.
const MAX_WARNINGS_PER_SECOND: u32 = 2_000;
/// How long the end of the process waits for the last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct State {
    buf: Vec<u8>,
    // Number of dropped lines since the last report, by message.
    dropped: BTreeMap<String, u64>,
    second_started: Instant,
    ordinary: u32,
    warnings: u32,
    writing: bool,
}

/// A non-blocking, rate-limited writer to standard output. Clones share one buffer.
#[derive(Debug, Clone)]
pub(crate) struct LogWriter {
    state: Arc<Mutex<State>>,
    /// Notified when the buffer reaches [`WAKE_BYTES`].
    nearly_full: Arc<Condvar>,
}

impl LogWriter {
    /// Starts the writer thread.
    pub(crate) fn start() -> Self {
        let state = State {
            buf: Vec::new(),
            dropped: BTreeMap::new(),
            second_started: Instant::now(),
            ordinary: 0,
            warnings: 0,
            writing: false,
        };
        let writer = Self { state: Arc::new(Mutex::new(state)), nearly_full: Arc::default() };
        let thread_writer = writer.clone();
        thread::spawn(move || thread_writer.run());
        writer
    }

    /// Whether the rate limit and the buffer admit this record. Counts it as dropped if not.
    pub(crate) fn admits(&self, record: &Record<'_>) -> bool {
        let mut state = self.lock();
        if state.second_started.elapsed() >= Duration::from_secs(1) {
            state.second_started = Instant::now();
            (state.ordinary, state.warnings) = (0, 0);
        }
        let full = state.buf.len() >= MAX_BUFFERED_BYTES;
        let admitted = if record.level() <= Level::Warn {
            state.warnings += 1;
            !full && state.warnings <= MAX_WARNINGS_PER_SECOND
        } else {
            state.ordinary += 1;
            // The last quarter of the buffer is reserved for warnings and errors.
            state.buf.len() < MAX_BUFFERED_BYTES / 4 * 3
                && state.ordinary <= MAX_ORDINARY_PER_SECOND
        };
        if !admitted {
            *state.dropped.entry(record.args().to_string()).or_default() += 1;
        }
        admitted
    }

    /// Appends a line to the buffer.
    pub(crate) fn push(&self, line: &str) {
        let mut state = self.lock();
        state.buf.extend_from_slice(line.as_bytes());
        state.buf.push(b'\n');
        if state.buf.len() >= WAKE_BYTES {
            self.nearly_full.notify_one();
        }
    }

    /// Removes and returns the number of lines dropped since the last call, by message.
    pub(crate) fn take_dropped(&self) -> BTreeMap<String, u64> {
        std::mem::take(&mut self.lock().dropped)
    }

    /// Waits until all lines are written, at most [`FLUSH_TIMEOUT`].
    pub(crate) fn flush(&self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while Instant::now() < deadline && !self.is_empty() {
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn is_empty(&self) -> bool {
        let state = self.lock();
        state.buf.is_empty() && !state.writing
    }

    fn run(&self) {
        let mut out = std::io::stdout();
        loop {
            let buf = {
                let waited =
                    self.nearly_full.wait_timeout_while(self.lock(), WRITE_INTERVAL, |it| {
                        it.buf.len() < WAKE_BYTES
                    });
                let (mut state, _) = waited.unwrap_or_else(PoisonError::into_inner);
                state.writing = !state.buf.is_empty();
                std::mem::take(&mut state.buf)
            };
            // There is nowhere to report that standard output is closed.
            let _ = out.write_all(&buf).and_then(|()| out.flush());
            self.lock().writing = false;
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        // The buffer stays usable after a panic in another thread.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
