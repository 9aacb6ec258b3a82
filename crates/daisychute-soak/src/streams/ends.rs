//! What ended when, to tell which streams it concerns.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use daisychute_platform_standin::Departure;
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
}

impl Ends {
    /// How the worker of an attempt ended; `None` if it wasn't told to while the attempt was in flight.
    pub(super) fn departure_of(&self, attempt: &RequestRecord) -> Option<Departure> {
        let worker = attempt.response.as_ref()?.header("x-server-seal")?;
        let is_in_flight = |at: Instant| attempt.sent_at < at && at < attempt.ended_at;
        let end = self.workers.iter().find(|it| it.id == worker && is_in_flight(it.at));
        end.map(|it| it.departure)
    }

    /// Describes what ended while an attempt was in flight, and whether its worker closes each connection.
    pub(super) fn describe(&self, attempt: &RequestRecord) -> String {
        let seal = attempt.response.as_ref().and_then(|it| it.header("x-server-seal"));
        let one_response = seal.is_some_and(|it| self.one_response.contains(it));
        let mut text = match self.departure_of(attempt) {
            Some(departure) => format!("worker left {departure}"),
            None => "worker not told to end".to_owned(),
        };
        text.push_str(if one_response { ", one response" } else { "" });
        text.push_str(if self.has_front_of(attempt) { ", front ended" } else { "" });
        text
    }

    /// Whether the front of an attempt was told to end before the attempt had ended.
    fn has_front_of(&self, attempt: &RequestRecord) -> bool {
        self.fronts.iter().any(|(front, at)| *front == attempt.front && *at < attempt.ended_at)
    }

    /// Whether a worker sent all events of an attempt.
    pub(super) fn has_sent(&self, attempt: &RequestRecord) -> bool {
        self.sent.contains(&attempt.id)
    }
}
