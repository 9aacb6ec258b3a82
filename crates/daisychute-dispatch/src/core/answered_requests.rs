//! Requests that were answered lately.

use daisychute_core::Time;

use crate::Fingerprint;

/// When requests were last answered completely.
///
/// Each request has one slot, by its fingerprint, which it takes from the one before: requests that come all the time are
/// remembered, and any number of others cost no more memory.
#[derive(Debug, Clone, Default)]
pub(crate) struct AnsweredRequests {
    /// Empty before the first answer, then `SLOTS` slots.
    slots: Vec<Option<(Fingerprint, Time)>>,
}

impl AnsweredRequests {
    /// Number of slots, about a hundred kilobytes. At 100 requests a second, a request keeps its slot for 40 s on average.
    const SLOTS: usize = 4_096;

    /// Records that a request was answered at this time.
    pub(crate) fn record(&mut self, fingerprint: Fingerprint, at: Time) {
        if self.slots.is_empty() {
            self.slots = vec![None; Self::SLOTS];
        }
        let slot = &mut self.slots[Self::index(fingerprint)];
        let known = slot.filter(|it| it.0 == fingerprint).map(|it| it.1);
        *slot = Some((fingerprint, known.map_or(at, |it| it.max(at))));
    }

    /// Returns when a request was last answered, as far as that is known.
    pub(crate) fn last(&self, fingerprint: Fingerprint) -> Option<Time> {
        let slot = *self.slots.get(Self::index(fingerprint))?;
        slot.filter(|it| it.0 == fingerprint).map(|it| it.1)
    }

    const fn index(fingerprint: Fingerprint) -> usize {
        fingerprint.number() as usize % Self::SLOTS
    }
}
