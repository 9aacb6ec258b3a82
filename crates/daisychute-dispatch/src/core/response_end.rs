//! Whether a response that ended with its connection is whole.

use std::time::Duration;

use daisychute_core::{EndpointName, Time};

use crate::{Dispatcher, EndpointKey, RequestKey};

/// What was seen of an endpoint after the end of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointSign {
    /// The endpoint began its response to another request.
    Responded {
        /// From when on the connection led to the process that responded.
        connected_at: Time,
        /// When that request was sent.
        sent_at: Time,
        /// When the response began.
        began_at: Time,
    },
    /// The endpoint itself answered a check.
    Answered {
        /// From when on the connection led to the process that answered.
        connected_at: Time,
        /// When it was asked.
        asked_at: Time,
        /// When the answer was there.
        answered_at: Time,
    },
    /// The endpoint refused a request.
    Refused {
        /// When that request was sent.
        sent_at: Time,
    },
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
            Self::Answered { .. } => "answered",
            Self::Refused { .. } => "refused",
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
    /// Ask the process that sent the response whether it is there, on a connection from before the end.
    Confirm,
    /// The response is whole: its endpoint has outlived it.
    Whole,
    /// The response isn't known to be whole.
    Unconfirmed,
}

/// Decides whether a response without length and chunks is whole, by what its endpoint does after it.
///
/// The connection of a response is closed in order when the response ends, and also when its endpoint gives it up because it is
/// told to stop, or is ended by the system. An endpoint that stops ends some time after the connection was closed, and begins no
/// response meanwhile. A process that has ended may be replaced by a later start of the endpoint, under its name and address. So
/// the last answer has to come on a connection from before the response ended: it is of the process that sent it.
///
/// The time until an endpoint ends is its own: while its process is suspended, or waits for a processor, it doesn't pass. So the
/// endpoint is asked again and again, and only the time counts in which its answers show that it ran.
///
/// ```
/// use std::time::Duration;
///
/// use daisychute_core::Time;
/// use daisychute_dispatch::{EndStep, EndpointSign, ResponseEnd};
///
/// let mut end = ResponseEnd::new(Time::ZERO, Duration::from_millis(500));
/// let (first, second) = (Time::from_millis(300), Time::from_millis(500));
/// let connected_at = Time::ZERO;
/// let answered = |at| EndpointSign::Answered { connected_at, asked_at: at, answered_at: at };
/// assert_eq!(end.first_step(), EndStep::WaitUntil(first));
/// assert_eq!(end.next_step(first, EndpointSign::Due { watched: true }), EndStep::Check);
/// assert_eq!(end.next_step(first, answered(first)), EndStep::WaitUntil(second));
/// assert_eq!(end.next_step(second, answered(second)), EndStep::Whole);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseEnd {
    ended_at: Time,
    /// Time for which the endpoint has to run after the response.
    hold: Duration,
    /// When the decision is made at the latest.
    limit: Time,
    /// The latest time at which the endpoint is known to have run.
    seen_at: Time,
    /// Whether the process that answered then is known to be the one that sent the response. If it is, it gave all answers before.
    is_sender: bool,
    /// Time for which the endpoint has run since the response ended, as far as its answers show; at most `hold`.
    ran: Duration,
    /// Time that an answer of the endpoint usually takes. What goes beyond it may be a time in which it didn't run.
    answer_time: Duration,
    /// Whether the endpoint has refused a request since: it may have stopped to begin responses.
    refuses: bool,
    /// Whether the endpoint, or a later start of it, began a response long enough after the end.
    begins_responses: bool,
    /// Time after which the endpoint is asked again, if it doesn't answer the next check.
    recheck_after: Duration,
    /// When the endpoint is asked next.
    next_check: Time,
}

impl ResponseEnd {
    /// Time within which an endpoint that stops gives up its responses, one after the other.
    pub const GIVE_UP_TIME: Duration = Duration::from_millis(250);
    /// Time after which an endpoint is asked again that hasn't answered a check; doubled each time.
    pub const FIRST_RECHECK: Duration = Duration::from_millis(40);
    /// Time between two checks. A suspension that is shorter, or than an answer usually takes, isn't noticed.
    pub const CHECK_INTERVAL: Duration = Duration::from_millis(300);
    /// Time that an answer may take in any case.
    const MIN_ANSWER_TIME: Duration = Duration::from_millis(50);
    /// The decision may take longer than the endpoint has to run, by that time divided by this.
    const EXTENSION_DIVISOR: u32 = 4;

    /// Creates the decision for a response that ended at this time. Without a sign that the endpoint goes on, it is watched until
    /// it has run for `hold`, or for a quarter longer.
    #[must_use]
    pub fn new(ended_at: Time, hold: Duration) -> Self {
        Self {
            ended_at,
            hold,
            limit: ended_at + hold + hold / Self::EXTENSION_DIVISOR,
            seen_at: ended_at,
            is_sender: true,
            ran: Duration::ZERO,
            answer_time: Self::MIN_ANSWER_TIME,
            refuses: false,
            begins_responses: false,
            recheck_after: Self::FIRST_RECHECK,
            next_check: ended_at + hold.min(Self::CHECK_INTERVAL),
        }
    }

    /// Allows answers to take this long. Returns what to do.
    pub fn allow_answer_time(&mut self, time: Duration) -> EndStep {
        self.answer_time = time.min(self.hold).max(Self::MIN_ANSWER_TIME);
        self.limit = self.limit.max(self.ended_at + self.hold + self.answer_time);
        self.wait()
    }

    /// Returns the time until the decision is made at the latest.
    #[must_use]
    pub fn time_left(&self, now: Time) -> Duration {
        self.limit.since(now)
    }

    /// Returns what to do at the end of the response.
    #[must_use]
    pub fn first_step(&self) -> EndStep {
        self.wait()
    }

    fn wait(&self) -> EndStep {
        let limit =
            if self.can_confirm(self.next_check) { self.limit } else { self.ended_at + self.hold };
        EndStep::WaitUntil(self.next_check.min(limit))
    }

    /// Returns what to do after this sign.
    #[must_use]
    pub fn next_step(&mut self, now: Time, sign: EndpointSign) -> EndStep {
        match sign {
            EndpointSign::Responded { connected_at, sent_at, began_at } => {
                // An endpoint that stops goes on with what it has for a while, but begins nothing new.
                let is_new = sent_at >= self.ended_at;
                let is_late = began_at >= self.ended_at + Self::GIVE_UP_TIME;
                if is_new && is_late && self.leads_to_sender(connected_at) {
                    EndStep::Whole
                } else if is_new && is_late && !self.begins_responses {
                    self.begins_responses = true;
                    self.is_sender = false;
                    EndStep::Confirm
                } else {
                    self.wait()
                }
            }
            EndpointSign::Answered { connected_at, asked_at, answered_at } => {
                self.count_answer(connected_at, asked_at, answered_at);
                self.verdict(now)
            }
            EndpointSign::Refused { sent_at } => {
                self.refuses |= sent_at >= self.ended_at;
                self.wait()
            }
            EndpointSign::Due { watched } => {
                let unseen = now.since(self.seen_at);
                // An answer is on its way for as long. Asking a slow endpoint once more would take longer than is left.
                let is_on_time = unseen <= self.answer_time && self.seen_at > self.ended_at;
                if watched
                    && self.is_sender
                    && is_on_time
                    && !self.refuses
                    && self.ran + unseen >= self.hold
                {
                    EndStep::Whole
                } else if self.is_over(now) {
                    EndStep::Unconfirmed
                } else {
                    EndStep::Check
                }
            }
            EndpointSign::Unwatched => EndStep::Check,
            EndpointSign::Unanswered => {
                // A process that is being ended may have accepted the check.
                self.next_check = now + self.recheck_after;
                self.recheck_after *= 2;
                if self.is_over(now) { EndStep::Unconfirmed } else { self.wait() }
            }
            EndpointSign::Gone => EndStep::Unconfirmed,
        }
    }

    /// Whether a connection leads to the process that sent the response, if to any: a later start of the endpoint may have accepted
    /// one from after the end.
    fn leads_to_sender(&self, connected_at: Time) -> bool {
        connected_at <= self.ended_at
    }

    /// Counts the time for which the endpoint has run, as its answer shows.
    fn count_answer(&mut self, connected_at: Time, asked_at: Time, answered_at: Time) {
        // A check for another response may have been answered before this one ended.
        if answered_at <= self.seen_at || asked_at < self.ended_at {
            return;
        }
        let asked_at = asked_at.max(self.seen_at);
        let gap = self.unseen(asked_at);
        let answer = answered_at.since(asked_at).min(self.answer_time);
        self.ran = (self.ran + gap + answer).min(self.hold);
        self.seen_at = answered_at;
        self.is_sender = self.leads_to_sender(connected_at);
        let missing = self.hold - self.ran;
        let pause = missing.min(Self::CHECK_INTERVAL.max(self.answer_time));
        // An endpoint that has run for long enough and has to begin a response isn't asked more often.
        self.next_check =
            answered_at + if missing.is_zero() { Self::CHECK_INTERVAL } else { pause };
    }

    /// Time since the endpoint was last seen, as far as it counts if it is seen again.
    fn unseen(&self, now: Time) -> Duration {
        now.since(self.seen_at).min(Self::CHECK_INTERVAL + self.answer_time)
    }

    /// Whether the endpoint can still be known to have run for long enough, if it answers from now on.
    fn can_confirm(&self, now: Time) -> bool {
        self.ran + self.unseen(now) + self.limit.since(now) >= self.hold
    }

    fn is_over(&self, now: Time) -> bool {
        now >= self.limit || (now >= self.ended_at + self.hold && !self.can_confirm(now))
    }

    /// Returns what to do, by the time that is left until `limit`.
    fn verdict(&self, now: Time) -> EndStep {
        let goes_on = self.begins_responses || (self.ran >= self.hold && !self.refuses);
        if goes_on && self.is_sender {
            return EndStep::Whole;
        }
        if goes_on && now < self.limit {
            return EndStep::Confirm;
        }
        if self.is_over(now) { EndStep::Unconfirmed } else { self.wait() }
    }
}

/// Time for which the endpoint of a response is watched after the end, if its client has all of it by then. Clients give a
/// stream up only after a pause of two seconds.
const MAX_HOLD: Duration = Duration::from_millis(1_500);
/// Minimum time for which an endpoint is watched: the system of a busy machine needs it to close all connections of a process
/// that has ended.
const MIN_HOLD: Duration = Duration::from_millis(25);

impl Dispatcher {
    /// The part of the drain time that endpoints serve for certain, from when a front learns that they leave, is one by this.
    const DRAIN_DIVISOR: u32 = 2;

    /// Returns for how long the endpoint of a response that ended with its connection is watched: as long as that doesn't harm the
    /// client. With `is_passed`, the client has the response but for its end, and half of the time until the front exits is used at
    /// most. Otherwise half of the time left until the latency objective is used, or until the deadline if the response is late.
    #[must_use]
    pub fn end_hold(&self, now: Time, key: RequestKey, is_passed: bool) -> Duration {
        let Some(state) = self.requests.get(&key) else { return MIN_HOLD };
        if is_passed {
            // The response is cut at the exit of the front.
            let until_exit = self.shutdown.map_or(Duration::MAX, |it| it.deadline.since(now));
            return (until_exit / 2).clamp(MIN_HOLD, MAX_HOLD);
        }
        let until_objective = (state.arrived + state.route.objective).since(now);
        let left = match until_objective {
            Duration::ZERO => state.deadline.since(now),
            left => left,
        };
        (left / 2).clamp(MIN_HOLD, MAX_HOLD)
    }

    /// Whether the end of a response in chunks isn't taken from this endpoint unless it outlives that: it leaves, and may have given
    /// the response up. It serves for a time after its announcement, of which this front may have heard late. If the front was held
    /// up after it sent the request, and may not know yet who left meanwhile, any endpoint may have.
    #[must_use]
    pub fn must_outlive_chunks(&self, now: Time, endpoint: EndpointKey, sent_at: Time) -> bool {
        let serving_time = self.settings.drain_time / Self::DRAIN_DIVISOR;
        let leaving_since = self.fleet.leaving_since(endpoint);
        leaving_since.is_some_and(|it| now >= it + serving_time)
            || self.fleet.is_removal_pending(endpoint)
            || self.hold_ups.may_lack_news(now, sent_at)
    }

    /// Whether a later start of an endpoint is listed under its name.
    #[must_use]
    pub fn is_replaced(&self, name: &EndpointName, endpoint: EndpointKey) -> bool {
        let latest = self.fleet.key(name).and_then(|it| self.fleet.incarnation(it));
        let sender = self.fleet.incarnation(endpoint);
        latest.zip(sender).is_some_and(|(latest, sender)| latest != sender)
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
