//! Whether a response that ended with its connection is whole.

use std::time::Duration;

use daisychute_core::Time;

use crate::{Dispatcher, RequestKey};

/// What was seen of an endpoint after the end of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointSign {
    /// The endpoint began its response to another request.
    Responded {
        /// When that request was sent.
        sent_at: Time,
        /// When the response began.
        began_at: Time,
    },
    /// The endpoint itself answered a check.
    Present,
    /// No connection shows any more whether the endpoint is there.
    Unwatched,
    /// Nothing listens at the address, or another endpoint does.
    Gone,
    /// A check wasn't answered, or the answer doesn't tell who sent it.
    Unanswered,
    /// The time of [`EndStep::WaitUntil`] has come.
    Due {
        /// Whether a connection to the endpoint itself is open.
        watched: bool,
    },
}

impl EndpointSign {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Responded { .. } => "responded",
            Self::Present => "present",
            Self::Unwatched => "unwatched",
            Self::Gone => "gone",
            Self::Unanswered => "unanswered",
            Self::Due { watched: true } => "due, connection open",
            Self::Due { watched: false } => "due",
        }
    }
}

/// What to do next about a response that ended with its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndStep {
    /// Wait for a sign until this time.
    WaitUntil(Time),
    /// Ask the endpoint whether it is there.
    Check,
    /// The response is whole: its endpoint has outlived it.
    Whole,
    /// The response isn't known to be whole.
    Unconfirmed,
}

/// Decides whether a response without length and chunks is whole, by what its endpoint does after it.
///
/// The connection of a response is closed in order when the response ends, and also when its endpoint gives it up because it is
/// told to stop, or is ended by the system. An endpoint that stops ends some time after the connection was closed, and begins no
/// response meanwhile.
///
/// ```
/// use std::time::Duration;
///
/// use daisychute_core::Time;
/// use daisychute_dispatch::{EndStep, EndpointSign, ResponseEnd};
///
/// let mut end = ResponseEnd::new(Time::ZERO, Duration::from_secs(1));
/// let due = Time::from_millis(1_000);
/// assert_eq!(end.first_step(), EndStep::WaitUntil(due));
/// assert_eq!(end.next_step(Time::from_millis(300), EndpointSign::Unwatched), EndStep::Check);
/// assert_eq!(end.next_step(Time::from_millis(301), EndpointSign::Present), EndStep::WaitUntil(due));
/// assert_eq!(end.next_step(due, EndpointSign::Due { watched: false }), EndStep::Check);
/// assert_eq!(end.next_step(due, EndpointSign::Present), EndStep::Whole);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseEnd {
    ended_at: Time,
    /// When the endpoint is asked whether it is there; not after `due`. The connections of a suspended process stay open, so
    /// that they alone confirm nothing.
    check_at: Time,
    /// When an endpoint that is still there counts as one that ended the response itself.
    due: Time,
    /// Whether the endpoint has answered a check that ended at `check_at` or later.
    is_present: bool,
    /// Time after which the endpoint is asked again, if it doesn't answer the next check.
    recheck_after: Duration,
}

impl ResponseEnd {
    /// Time within which an endpoint that stops gives up its responses, one after the other.
    pub const GIVE_UP_TIME: Duration = Duration::from_millis(250);
    /// Time after which an endpoint is asked again that hasn't answered a check; doubled each time.
    pub const FIRST_RECHECK: Duration = Duration::from_millis(40);

    /// Creates the decision for a response that ended at this time. Without a sign that the endpoint goes on, it is watched for
    /// `hold`.
    #[must_use]
    pub fn new(ended_at: Time, hold: Duration) -> Self {
        let due = ended_at + hold;
        let recheck_after = Self::FIRST_RECHECK;
        Self { ended_at, check_at: due, due, is_present: false, recheck_after }
    }

    /// Asks the endpoint early enough for an answer that takes this long. Returns what to do.
    pub fn allow_answer_time(&mut self, time: Duration) -> EndStep {
        let earliest = self.due.min(self.ended_at + Self::GIVE_UP_TIME);
        self.check_at = earliest.max(self.due - time);
        self.wait()
    }

    /// Returns what to do at the end of the response.
    #[must_use]
    pub const fn first_step(&self) -> EndStep {
        self.wait()
    }

    const fn wait(&self) -> EndStep {
        EndStep::WaitUntil(if self.is_present { self.due } else { self.check_at })
    }

    /// Returns what to do after this sign.
    #[must_use]
    pub fn next_step(&mut self, now: Time, sign: EndpointSign) -> EndStep {
        match sign {
            EndpointSign::Responded { sent_at, began_at } => {
                // An endpoint that stops goes on with what it has for a while, but begins nothing new.
                let is_new = sent_at >= self.ended_at;
                if is_new && began_at >= self.ended_at + Self::GIVE_UP_TIME {
                    EndStep::Whole
                } else {
                    self.wait()
                }
            }
            EndpointSign::Present => {
                self.is_present |= now >= self.check_at;
                if now >= self.due { EndStep::Whole } else { self.wait() }
            }
            EndpointSign::Due { watched: true } if self.is_present && now >= self.due => {
                EndStep::Whole
            }
            EndpointSign::Due { .. } | EndpointSign::Unwatched => EndStep::Check,
            EndpointSign::Unanswered if now < self.due => {
                // A process that is being ended may have accepted the check.
                let recheck_at = now + self.recheck_after;
                self.recheck_after *= 2;
                EndStep::WaitUntil(self.due.min(recheck_at))
            }
            EndpointSign::Unanswered | EndpointSign::Gone => EndStep::Unconfirmed,
        }
    }
}

/// Time for which the endpoint of a response is watched after the end, if its client has all of it by then. Clients give a
/// stream up only after a pause of two seconds.
const MAX_HOLD: Duration = Duration::from_millis(1_500);
/// Minimum time for which an endpoint is watched: the system of a busy machine needs it to close all connections of a process
/// that has ended.
const MIN_HOLD: Duration = Duration::from_millis(25);

impl Dispatcher {
    /// Returns for how long the endpoint of a response that ended with its connection is watched: as long as that doesn't harm the
    /// client. With `is_passed`, the client has the response but for its end. Otherwise half of the time left until the latency
    /// objective is used, or until the deadline if the response is late.
    #[must_use]
    pub fn end_hold(&self, now: Time, key: RequestKey, is_passed: bool) -> Duration {
        let Some(state) = self.requests.get(&key) else { return MIN_HOLD };
        if is_passed {
            return MAX_HOLD;
        }
        let until_objective = (state.arrived + state.route.objective).since(now);
        let left = match until_objective {
            Duration::ZERO => state.deadline.since(now),
            left => left,
        };
        (left / 2).clamp(MIN_HOLD, MAX_HOLD)
    }

    /// Records that the endpoint of a request is done with it, though its client doesn't have the whole response yet.
    pub(crate) fn response_ended(&mut self, now: Time, key: RequestKey) {
        let sent = self.requests.get_mut(&key).and_then(|it| it.in_flight.as_mut());
        let Some(sent) = sent.filter(|it| it.ended_at.is_none()) else { return };
        let before = sent.clone();
        sent.ended_at = Some(now);
        self.remove_in_flight(key, &before);
    }
}
