//! How a replica reads the platform: elected watchers keep a watch open, all other processes poll rarely.

use daisychute_core::Time;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::{ReplicaAction, ReplicaSettings};
use crate::ResourceVersion;
use crate::backoff::{Backoff, jitter};

/// State of the calls to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Before the first tick.
    Initial,
    /// The next read is due at this time.
    Waiting { until: Time },
    /// A read is in flight.
    Listing,
    /// A watch is open or being opened.
    Watching,
}

/// Schedules the reads and watches of a document's object on the platform.
#[derive(Debug)]
pub(super) struct Source {
    settings: ReplicaSettings,
    watcher: bool,
    state: State,
    backoff: Backoff,
    rng: Pcg64,
}

impl Source {
    pub(super) fn new(settings: ReplicaSettings, seed: u64) -> Self {
        let backoff = Backoff::new(settings.first_retry, settings.longest_retry);
        let rng = Pcg64::seed_from_u64(seed);
        Self { settings, watcher: false, state: State::Initial, backoff, rng }
    }

    pub(super) fn set_watcher(&mut self, now: Time, watcher: bool, out: &mut Vec<ReplicaAction>) {
        if watcher == self.watcher {
            return;
        }
        self.watcher = watcher;
        if watcher {
            self.schedule_retry(now);
        } else if self.state == State::Watching {
            out.push(ReplicaAction::EndWatch);
            self.schedule_poll(now);
        }
    }

    /// A read succeeded: a watcher watches from its version, another process waits for the next poll.
    pub(super) fn listed(
        &mut self,
        now: Time,
        from: ResourceVersion,
        out: &mut Vec<ReplicaAction>,
    ) {
        if self.state != State::Listing {
            return;
        }
        if self.watcher {
            self.state = State::Watching;
            out.push(ReplicaAction::Watch { from });
        } else {
            self.backoff.reset();
            self.schedule_poll(now);
        }
    }

    /// A read failed. A process that has a document and doesn't watch only waits for its next poll, so that the
    /// platform isn't flooded with reads when it recovers.
    pub(super) fn list_failed(&mut self, now: Time, has_document: bool) {
        if self.state != State::Listing {
            return;
        }
        if has_document && !self.watcher {
            self.schedule_poll(now);
        } else {
            self.schedule_retry(now);
        }
    }

    /// A peer sent a newer document, so a process that doesn't watch postpones its next read.
    pub(super) fn served_by_peer(&mut self, now: Time) {
        if !self.watcher && matches!(self.state, State::Initial | State::Waiting { .. }) {
            self.schedule_poll(now);
        }
    }

    /// The watch delivered an event, so the platform works and the retry delay starts over.
    pub(super) fn watch_alive(&mut self) {
        self.backoff.reset();
    }

    pub(super) fn watch_ended(&mut self, now: Time) {
        if self.state == State::Watching {
            self.schedule_retry(now);
        }
    }

    /// Starts a read if it is due, otherwise requests a wake-up for its time.
    pub(super) fn tick(&mut self, now: Time, out: &mut Vec<ReplicaAction>) {
        if self.state == State::Initial {
            let delay = jitter(self.settings.start_grace, &mut self.rng);
            self.state = State::Waiting { until: now + delay };
        }
        let State::Waiting { until } = self.state else { return };
        if now < until {
            out.push(ReplicaAction::WakeAt(until));
        } else {
            self.state = State::Listing;
            out.push(ReplicaAction::List);
        }
    }

    fn schedule_retry(&mut self, now: Time) {
        let delay = self.backoff.next_delay(&mut self.rng);
        self.state = State::Waiting { until: now + delay };
    }

    fn schedule_poll(&mut self, now: Time) {
        let delay = jitter(self.settings.poll_interval, &mut self.rng);
        self.state = State::Waiting { until: now + delay };
    }
}
