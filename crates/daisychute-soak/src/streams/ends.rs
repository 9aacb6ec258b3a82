//! What ended when, to tell which streams it concerns.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use daisychute_platform_standin::{Departure, StoppedStream};
use tokio::time::Instant;

use crate::checks::RequestRecord;

/// The ends of workers and fronts, and the streams that workers sent to their end.
#[derive(Debug, Default)]
pub(super) struct Ends {
    pub(super) workers: Vec<WorkerEnd>,
    /// When fronts, by their client addresses, were told to end.
    pub(super) fronts: Vec<(SocketAddr, Instant)>,
    /// Ids of the workers that close each connection after one response.
    pub(super) one_response: BTreeSet<String>,
    /// Ids of the attempts all events of which were sent by a worker.
    pub(super) sent: BTreeSet<String>,
    /// The last event of each attempt that a worker ended early and in order, by the id of the attempt.
    pub(super) truncated: BTreeMap<String, u32>,
    /// What workers stopped, by the id of the attempt.
    pub(super) stopped: BTreeMap<String, Vec<StoppedStream>>,
}

/// The end of a worker, at the request of the soak.
#[derive(Debug)]
pub(super) struct WorkerEnd {
    /// Id of the worker.
    pub(super) id: String,
    /// When it was killed or told to end.
    pub(super) at: Instant,
    /// How it ended then.
    pub(super) departure: Departure,
    /// When its process was seen to have ended; `None` before that.
    pub(super) gone_at: Option<Instant>,
    /// Id of the worker that listens on its address since then.
    pub(super) successor: Option<String>,
}

impl Ends {
    /// Whether the worker of an attempt was told to end while that was in flight.
    pub(super) fn has_worker_of(&self, attempt: &RequestRecord) -> bool {
        self.worker_end(attempt).is_some_and(|it| attempt.sent_at < it.at)
    }

    /// The end of the worker of an attempt; `None` if it was told to only afterwards, or never. It may have been told just
    /// before the attempt, which it served since the signal was late.
    fn worker_end(&self, attempt: &RequestRecord) -> Option<&WorkerEnd> {
        let worker = attempt.response.as_ref()?.header("x-server-seal")?;
        self.workers.iter().find(|it| it.id == worker && it.at < attempt.ended_at)
    }

    /// Notes that the process of a worker has ended, and which other one listens on its address since then.
    pub(super) fn note_gone(&mut self, id: &str, successor: Option<&str>) {
        for end in self.workers.iter_mut().filter(|it| it.id == id && it.gone_at.is_none()) {
            end.gone_at = Some(Instant::now());
            end.successor = successor.map(str::to_owned);
        }
    }

    /// Tells when the worker of an attempt was told to end, and when it had, in ms before the end of the attempt.
    pub(super) fn timeline(&self, attempt: &RequestRecord) -> String {
        let stopped = self.stopped(attempt).iter().map(|it| format!("[{it}] "));
        let stopped: String = stopped.collect();
        let Some(end) = self.worker_end(attempt) else { return stopped };
        let before = |at: Instant| attempt.ended_at.saturating_duration_since(at).as_millis();
        let gone = end.gone_at.map(before);
        format!(
            "{stopped}told {} ms before the end, gone {gone:?}, then {:?}",
            before(end.at),
            end.successor
        )
    }

    /// Describes what ended while an attempt was in flight, and whether its worker closes each connection. Only of the
    /// worker that began the response, also if another went on with it.
    pub(super) fn describe(&self, attempt: &RequestRecord) -> String {
        let seal = attempt.response.as_ref().and_then(|it| it.header("x-server-seal"));
        let one_response = seal.is_some_and(|it| self.one_response.contains(it));
        let mut text = match self.worker_end(attempt) {
            Some(end) => format!("worker left {}", end.departure),
            None => "worker not told to end".to_owned(),
        };
        text.push_str(if one_response { ", one response" } else { "" });
        text.push_str(if self.has_front_of(attempt) { ", front ended" } else { "" });
        for stopped in self.stopped(attempt) {
            text.push_str(&format!(", {}", stopped.way));
        }
        text
    }

    /// Whether the front of an attempt was told to end before the attempt had ended.
    fn has_front_of(&self, attempt: &RequestRecord) -> bool {
        self.fronts.iter().any(|(front, at)| *front == attempt.front && *at < attempt.ended_at)
    }

    /// Whether a worker that stayed ended an attempt early and in order after this event.
    pub(super) fn is_truncated(&self, attempt: &RequestRecord, last_event: u32) -> bool {
        // A worker that stops for time or since it leaves is no such case.
        let is_stopped = self.stopped(attempt).iter().any(|it| it.last_event == last_event);
        self.truncated.get(&attempt.id) == Some(&last_event) && !is_stopped
    }

    /// Where workers stopped an attempt at its deadline, or ended it in order since they left.
    pub(super) fn stopped(&self, attempt: &RequestRecord) -> &[StoppedStream] {
        self.stopped.get(&attempt.id).map_or(&[], Vec::as_slice)
    }

    /// Whether a worker sent all events of an attempt.
    pub(super) fn has_sent(&self, attempt: &RequestRecord) -> bool {
        self.sent.contains(&attempt.id)
    }
}
