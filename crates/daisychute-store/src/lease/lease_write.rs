//! A write of a lease object, and the call in flight.

use std::sync::Arc;

use daisychute_core::{Era, Term, Time};

use super::{Lease, LeaseRecord, LeaseSettings};
use crate::{Object, ObjectKind, PendingWrite, ResourceVersion};

/// What a write of the lease object does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    Acquire,
    Renew,
    Release,
}

/// A write of the lease object, including its retries.
#[derive(Debug, Clone)]
pub(super) struct LeaseWrite {
    pub(super) purpose: Purpose,
    pub(super) term: Term,
    /// Era of the read that the write is based on. The write counts only if it takes effect in the same one.
    pub(super) era: Era,
    pub(super) write: PendingWrite,
    pub(super) object: Object,
    /// When it was first sent. A retry doesn't change it.
    pub(super) first_sent_at: Time,
}

impl LeaseWrite {
    /// When the holder must stop acting if this write takes effect: the first send plus the duration, minus the margin.
    pub(super) fn valid_until(&self, settings: &LeaseSettings) -> Time {
        self.first_sent_at + settings.duration.saturating_sub(settings.margin)
    }
}

/// State of the call to the platform's object store; at most one is in flight.
#[derive(Debug, Clone)]
pub(super) enum CallState {
    Idle,
    Reading,
    Writing(LeaseWrite),
    /// The result of the write is unknown. The object is read back after a delay.
    Ambiguous(LeaseWrite),
    /// The object is being read back to resolve the write.
    Resolving(LeaseWrite),
}

impl Lease {
    /// Builds the write of the next lease record under a new write id. `base` is the version to replace.
    pub(super) fn build_write(
        &mut self,
        purpose: Purpose,
        term: Term,
        base: Option<ResourceVersion>,
        now: Time,
    ) -> LeaseWrite {
        self.highest_term = self.highest_term.max(term);
        let write_id = self.write_id.take();
        let own = &self.own_holder;
        let is_release = purpose == Purpose::Release;
        let record = LeaseRecord {
            holder: (!is_release).then(|| own.clone()),
            term,
            duration_ms: u64::try_from(self.settings.duration.as_millis()).unwrap_or(u64::MAX),
            previous: self.previous.clone(),
            released_by: is_release.then(|| own.process.clone()),
        };
        let spec = serde_json::to_value(record).unwrap_or_default();
        let object = Object::new(ObjectKind::Leases, Arc::clone(&self.name), spec)
            .version(base.clone())
            .set_write_id(&write_id);
        LeaseWrite {
            purpose,
            term,
            era: self.era,
            write: PendingWrite { write_id, base },
            object,
            first_sent_at: now,
        }
    }
}
