//! How a replica reads the platform: a watch in the chosen few, a rare read in all others.

use daisychute_core::Time;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::{ReplicaAction, ReplicaSettings};
use crate::ResourceVersion;
use crate::backoff::{Backoff, jitter};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Nothing has been asked yet.
    New,
    /// The next read is due at this time.
    Waiting { until: Time },
    /// A read is under way.
    Listing,
    /// A watch is open or being opened.
    Watching,
}

/// The platform as the source of a document.
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
        Self { settings, watcher: false, state: State::New, backoff, rng }
    }

    pub(super) fn set_watcher(&mut self, now: Time, watcher: bool, out: &mut Vec<ReplicaAction>) {
        if watcher == self.watcher {
            return;
        }
        self.watcher = watcher;
        if watcher {
            self.wait(now);
        } else if self.state == State::Watching {
            out.push(ReplicaAction::EndWatch);
            self.wait_for_poll(now);
        }
    }

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
            self.wait_for_poll(now);
        }
    }

    /// A process that has a document and doesn't watch is in no hurry, so that an outage doesn't end in a rush.
    pub(super) fn list_failed(&mut self, now: Time, has_document: bool) {
        if self.state != State::Listing {
            return;
        }
        if has_document && !self.watcher {
            self.wait_for_poll(now);
        } else {
            self.wait(now);
        }
    }

    /// A peer sent a newer document, so a process that doesn't watch needs no read for a while.
    pub(super) fn served_by_peer(&mut self, now: Time) {
        if !self.watcher && matches!(self.state, State::New | State::Waiting { .. }) {
            self.wait_for_poll(now);
        }
    }

    /// The watch brought something, so the platform is well again.
    pub(super) fn watch_alive(&mut self) {
        self.backoff.reset();
    }

    pub(super) fn watch_ended(&mut self, now: Time) {
        if self.state == State::Watching {
            self.wait(now);
        }
    }

    /// Reads when it is time to, and says when that will be.
    pub(super) fn tick(&mut self, now: Time, out: &mut Vec<ReplicaAction>) {
        if self.state == State::New {
            let grace = jitter(self.settings.start_grace, &mut self.rng);
            self.state = State::Waiting { until: now + grace };
        }
        let State::Waiting { until } = self.state else { return };
        if now < until {
            out.push(ReplicaAction::WakeAt(until));
        } else {
            self.state = State::Listing;
            out.push(ReplicaAction::List);
        }
    }

    fn wait(&mut self, now: Time) {
        let delay = self.backoff.next_delay(&mut self.rng);
        self.state = State::Waiting { until: now + delay };
    }

    fn wait_for_poll(&mut self, now: Time) {
        let delay = jitter(self.settings.poll_interval, &mut self.rng);
        self.state = State::Waiting { until: now + delay };
    }
}
