//! Ends of endpoints under one request or prompt part.

use daisychute_core::Time;

use crate::Cause;
use crate::core::crash_quarantine::CrashQuarantine;

/// End of an endpoint that had a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndpointEnd {
    /// Identifies the start of the endpoint among the fronts.
    pub(crate) endpoint: u64,
    pub(crate) at: Time,
    /// Whether the endpoint had begun to respond to the request. One that had not may only have been in line.
    pub(crate) begun: bool,
}

impl EndpointEnd {
    /// Returns how much the end says against a prompt part.
    pub(crate) const fn weight(self) -> usize {
        if self.begun { 2 } else { 1 }
    }
}

/// What is known about one request or prompt part.
#[derive(Debug, Clone, Default)]
pub(crate) struct CrashRecord {
    /// Endpoints that ended under it since its last complete response. At most `MAX_ENDS`, each once.
    pub(crate) ends: Vec<EndpointEnd>,
    /// Latest place of the part in a prompt under which an endpoint ended; 0 for a request.
    pub(crate) place: usize,
    /// When the latest complete response ended, as far as that is known.
    pub(crate) sound_at: Option<Time>,
    /// Whether any front knows of a complete response.
    pub(crate) was_sound: bool,
    /// When the record last changed.
    pub(crate) changed_at: Time,
}

impl CrashRecord {
    /// Maximum number of ends that are kept.
    const MAX_ENDS: usize = 16;

    /// Records the end of an endpoint, unless a complete response came later.
    pub(crate) fn record_end(&mut self, end: EndpointEnd) {
        if let Some(known) = self.ends.iter_mut().find(|it| it.endpoint == end.endpoint) {
            known.begun |= end.begun;
        } else if !self.is_sound_since(end.at) && self.ends.len() < Self::MAX_ENDS {
            self.ends.push(end);
        }
    }

    /// Drops the ends of these endpoints.
    pub(crate) fn drop_ends(&mut self, endpoints: &[u64]) {
        self.ends.retain(|it| !endpoints.contains(&it.endpoint));
    }

    /// Records that a complete response ended at this time. Returns the number of ends that it refutes.
    pub(crate) fn record_sound(&mut self, at: Time) -> usize {
        self.sound_at = self.sound_at.max(Some(at));
        self.was_sound = true;
        let before = self.ends.len();
        self.ends.retain(|it| it.at > at);
        before - self.ends.len()
    }

    /// Whether a complete response ended at this time or later.
    pub(crate) fn is_sound_since(&self, at: Time) -> bool {
        self.sound_at.is_some_and(|it| it >= at)
    }

    /// Whether enough endpoints ended under `cause`, which the record is about, to quarantine it.
    pub(crate) fn is_suspect(&self, cause: Cause) -> bool {
        let limit =
            if self.was_sound { CrashQuarantine::ENDS_AFTER_SOUND } else { CrashQuarantine::ENDS };
        // A request that was never answered has no other explanation for ends at the same time: it was at each of them.
        let each_counts = matches!(cause, Cause::Request(_)) && !self.was_sound;
        self.ends.len() >= limit && (each_counts || self.weight() >= 2 * limit)
    }

    /// Whether all ends in the other record are in this one.
    pub(crate) fn covers(&self, other: &Self) -> bool {
        let is_known = |end: &EndpointEnd| self.ends.iter().any(|it| it.endpoint == end.endpoint);
        self.ends.len() >= other.ends.len() && other.ends.iter().all(is_known)
    }

    /// Returns how much all ends say against the cause. Of ends that may have had a common cause, since little time passed
    /// between them, the one that says most counts.
    pub(crate) fn weight(&self) -> usize {
        let mut ends = self.ends.clone();
        ends.sort_unstable_by_key(|it| it.at);
        let (mut total, mut first) = (0, None::<EndpointEnd>);
        for end in ends {
            match &mut first {
                Some(first) if end.at.since(first.at) < CrashQuarantine::SEPARATION => {
                    total += end.weight().saturating_sub(first.weight());
                    first.begun |= end.begun;
                }
                _ => {
                    total += end.weight();
                    first = Some(end);
                }
            }
        }
        total
    }

    /// Returns the order of suspects: one that was never answered goes before others, then the weight of the ends counts,
    /// then a later place in the prompt, where fewer requests share it.
    pub(crate) fn suspicion(&self) -> (bool, usize, usize) {
        (!self.was_sound, self.weight(), self.place)
    }
}
