//! Clients of streams, which keep their connections and resume what is broken off.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use daisychute_platform_standin::{
    Connection, OUTPUT_TOKENS, STREAM_FORM_HEADER, TELL_VERSION_HEADER, request_text,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep};

use super::check::{Kind, StreamRecord};
use super::deadlines::Deadlines;
use crate::checks::RequestRecord;
use crate::run_options::RunOptions;

/// Path of the route whose streams may be resumed.
pub(super) const RESUMABLE: &str = "/resumable/";
/// Path of the route whose streams may not.
pub(super) const SINGLE: &str = "/single/";
/// Upper bound of the pause of a client before each stream, in ms.
const MAX_PAUSE_MS: u64 = 150;
/// Upper bound of the pause of a client before each further attempt, in ms.
const MAX_RESUME_PAUSE_MS: u64 = 60;
/// Upper bound of the time for which a slow reader reads nothing, in ms.
const MAX_READ_PAUSE_MS: u64 = 1_500;
/// Maximum number of attempts at a stream that may be resumed.
const MAX_ATTEMPTS: usize = 5;
/// Minimum length of an event, in bytes.
const EVENT_BYTES: usize = 65;
/// Length of an event of a stream that fills the buffers of sockets, in bytes.
const LARGE_EVENT_BYTES: usize = 400_000;
/// One stream in this many has large events.
const LARGE_INTERVAL: u32 = 16;
/// One stream in this many has a slow reader.
const SLOW_INTERVAL: u32 = 4;
/// Maximum number of events of a stream in rough conditions, most of which have a quarter of it at most.
const MAX_ROUGH_EVENTS: u32 = 68;
/// Upper bound of the time of a stream in rough conditions, in ms, and of the pause before each event.
const MAX_ROUGH_MS: (u32, u32) = (6_000, 300);
/// One attempt in this many is left by its client in rough conditions.
const LEAVE_INTERVAL: u32 = 4;
/// Range of the time after which a client leaves an attempt, in ms.
const LEAVE_MS: std::ops::Range<u64> = 20..2_000;
/// Time for which the connection that a client has left stays open.
const LEFT_OPEN: Duration = Duration::from_secs(2);
/// Pause of a client before it connects again, in rough conditions.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
/// Output tokens that a request asks for, for each event.
const TOKENS_PER_EVENT: u32 = 4;
/// Time that clients wait for a stream, in ms.
const DEADLINE_MS: u64 = 8_000;

/// The state that all clients share.
#[derive(Debug, Default)]
pub(super) struct StreamPool {
    /// The current client address of each front.
    pub(super) fronts: RefCell<Vec<SocketAddr>>,
    /// The streams that have ended.
    pub(super) streams: RefCell<Vec<StreamRecord>>,
    /// Set to make every client stop after its current stream.
    pub(super) stopping: Cell<bool>,
    /// Number of attempts that clients left in the middle of a stream.
    pub(super) moved: Cell<usize>,
    ids: Cell<u64>,
}

/// A client with its kept connection.
struct Client {
    pool: Rc<StreamPool>,
    rng: Pcg64Mcg,
    idle: Option<(SocketAddr, Connection)>,
    /// Whether conditions are rough.
    rough: bool,
    /// Chooses deadlines; `None` for [`DEADLINE_MS`].
    deadlines: Option<Deadlines>,
}

/// How a client asks for a stream, and reads it.
struct Request {
    /// Id of the first attempt, to which the prompt belongs.
    first_id: String,
    path: &'static str,
    form: String,
    events: u32,
    /// Whether further attempts name the first one that had an event.
    names_first: bool,
    read_pause: Duration,
    deadline_ms: u64,
}

/// Runs one client until the pool is stopping.
pub(super) async fn run_client(
    pool: Rc<StreamPool>,
    resumable: bool,
    options: RunOptions,
    seed: u64,
) {
    let deadlines = options.deadlines.then(|| Deadlines::new(seed));
    let rng = Pcg64Mcg::seed_from_u64(seed);
    let mut client = Client { pool, rng, idle: None, rough: options.rough, deadlines };
    while !client.pool.stopping.get() {
        let pause = client.rng.random_range(1..MAX_PAUSE_MS);
        sleep(Duration::from_millis(pause)).await;
        client.run_stream(resumable).await;
    }
}

impl Client {
    async fn run_stream(&mut self, resumable: bool) {
        let rng = &mut self.rng;
        let kind = Kind { resumable, chunked: rng.random_range(0..2) == 0 };
        let events = if resumable { rng.random_range(8..=26) } else { rng.random_range(3..=9) };
        let is_large = rng.random_range(0..LARGE_INTERVAL) == 0;
        let is_slow = rng.random_range(0..SLOW_INTERVAL) == 0;
        let bytes = if is_large { LARGE_EVENT_BYTES } else { EVENT_BYTES };
        let interval_ms = rng.random_range(2..if resumable { 80 } else { 120 });
        let (events, bytes, interval_ms) =
            if self.rough { rough_form(rng) } else { (events, bytes, interval_ms) };
        let deadlines = self.deadlines.as_mut().filter(|_| !self.rough);
        let interval_ms =
            deadlines.map_or(interval_ms, |it| it.next_interval_ms(events, interval_ms));
        let framing = if kind.chunked { "chunked" } else { "close" };
        let read_pause_ms = if is_slow { rng.random_range(0..MAX_READ_PAUSE_MS) } else { 0 };
        let stream_ms = u64::from(events * interval_ms);
        let deadlines = self.deadlines.as_mut();
        let deadline_ms = deadlines.map_or(DEADLINE_MS, |it| it.next_ms(resumable, stream_ms));
        let request = Request {
            first_id: self.pool.next_id(),
            path: if resumable { RESUMABLE } else { SINGLE },
            form: format!("{events},{bytes},{interval_ms},{framing}"),
            events,
            names_first: rng.random_range(0..2) == 0,
            read_pause: Duration::from_millis(read_pause_ms),
            deadline_ms,
        };
        let deadline = Duration::from_millis(deadline_ms);
        let (attempts, tail) = (Vec::new(), None);
        let mut stream = StreamRecord { kind, events, deadline, attempts, tail };
        for _ in 0..if resumable { MAX_ATTEMPTS } else { 1 } {
            let Some((attempt, tail)) = self.attempt(&request, &stream).await else {
                if self.rough {
                    sleep(RECONNECT_PAUSE).await;
                }
                continue;
            };
            stream.attempts.push(attempt);
            stream.tail = tail.filter(|_| !is_slow && stream.looks_whole());
            if stream.looks_whole() {
                break;
            }
            let pause = self.rng.random_range(1..MAX_RESUME_PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
        }
        if !stream.attempts.is_empty() {
            self.pool.streams.borrow_mut().push(stream);
        }
    }

    /// Makes the first attempt at a stream or the next one. Returns with it the time from the last event to the end. `None`
    /// if the request can't be sent.
    async fn attempt(
        &mut self,
        req: &Request,
        stream: &StreamRecord,
    ) -> Option<(RequestRecord, Option<Duration>)> {
        let (front, mut connection) = match self.idle.take() {
            Some(it) => it,
            None => {
                let front = self.pool.random_front(&mut self.rng);
                (front, Connection::open(front).await.ok()?)
            }
        };
        let is_first = stream.attempts.is_empty();
        let id = if is_first { req.first_id.clone() } else { self.pool.next_id() };
        let sent_at = Instant::now();
        connection.send(&req.text(&id, stream)).await.ok()?;
        sleep(req.read_pause).await;
        let leaves =
            self.rough && req.path == RESUMABLE && self.rng.random_range(0..LEAVE_INTERVAL) == 0;
        let leave_after = leaves.then(|| Duration::from_millis(self.rng.random_range(LEAVE_MS)));
        connection.give_up_at(leave_after.map(|it| Instant::now() + it));
        let response = connection.answer().await.ok();
        let ended_at = Instant::now();
        let last_event_at = connection.last_body_at().filter(|it| *it > sent_at);
        let tail = last_event_at.map(|it| ended_at.duration_since(it));
        let is_open = response
            .as_ref()
            .is_some_and(|it| it.whole && it.header("connection") != Some("close"));
        if connection.has_given_up() {
            // The front may go on with the run until the connection is closed.
            self.pool.moved.set(self.pool.moved.get() + 1);
            actix_rt::spawn(async move {
                sleep(LEFT_OPEN).await;
                drop(connection);
            });
        } else if is_open && self.rng.random_range(0..10) > 0 {
            self.idle = Some((front, connection));
        }
        Some((RequestRecord { id, path: req.path, front, response, sent_at, ended_at }, tail))
    }
}

/// Number, length and pause of the events of a stream in rough conditions.
fn rough_form(rng: &mut Pcg64Mcg) -> (u32, usize, u32) {
    let is_long = rng.random_range(0..4) == 0;
    let max = if is_long { MAX_ROUGH_EVENTS } else { MAX_ROUGH_EVENTS / 4 };
    let events = rng.random_range(3..=max);
    let (stream_ms, pause_ms) = MAX_ROUGH_MS;
    (events, EVENT_BYTES, rng.random_range(2..=pause_ms.min(stream_ms / events)))
}

impl Request {
    fn text(&self, id: &str, stream: &StreamRecord) -> String {
        let mut headers =
            format!("{TELL_VERSION_HEADER}: 1\r\n{STREAM_FORM_HEADER}: {}\r\n", self.form);
        let last = stream.last_event();
        if last > 0 {
            headers.push_str(&format!("Last-Event-Id: {last}\r\n"));
        }
        if let Some(first) = stream.first_with_events().filter(|_| self.names_first) {
            headers.push_str(&format!("Resumes: {first}\r\n"));
        }
        let tokens = self.events * TOKENS_PER_EVENT;
        request_text(&self.first_id, "POST", self.path, true)
            .replacen(&self.first_id, id, 1)
            .replacen("X-Deadline-Ms: 2500", &format!("X-Deadline-Ms: {}", self.deadline_ms), 1)
            .replacen(&format!(",{OUTPUT_TOKENS}\r\n"), &format!(",{tokens}\r\n"), 1)
            .replacen("X-Model", &format!("{headers}X-Model"), 1)
    }
}

impl StreamPool {
    fn next_id(&self) -> String {
        self.ids.set(self.ids.get() + 1);
        format!("d{:015x}", self.ids.get())
    }

    fn random_front(&self, rng: &mut Pcg64Mcg) -> SocketAddr {
        let fronts = self.fronts.borrow();
        fronts[rng.random_range(0..fronts.len())]
    }
}
