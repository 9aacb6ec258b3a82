//! A write of a lease object, and the call in flight.

use daisychute_core::{Term, Time};

use super::{Lease, LeaseRecord, LeaseSettings};
use crate::{Object, ObjectKind, PendingWrite, ResourceVersion};

/// What a write of the lease object does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    Acquire,
    Renew,
    Release,
}

/// A write of the lease object, with all its repeats.
#[derive(Debug, Clone)]
pub(super) struct WriteAttempt {
    pub(super) purpose: Purpose,
    pub(super) term: Term,
    pub(super) write: PendingWrite,
    pub(super) object: Object,
    /// When it was first sent. A repeat doesn't change it.
    pub(super) first_sent_at: Time,
}

impl WriteAttempt {
    /// When the holder must stop to act if this write takes effect: the duration less the margin after the first send.
    pub(super) fn valid_until(&self, settings: &LeaseSettings) -> Time {
        self.first_sent_at + settings.duration.saturating_sub(settings.margin)
    }
}

/// State of the call to the platform; at most one is in flight.
#[derive(Debug, Clone)]
pub(super) enum Call {
    None,
    Reading,
    Writing(WriteAttempt),
    /// The result of the write is unknown. The object is read back after a delay.
    Ambiguous(WriteAttempt),
    /// The object is being read back to resolve the write.
    Resolving(WriteAttempt),
}

impl Lease {
    /// Builds the write of the next lease record under a new write id. `base` is the version to replace.
    pub(super) fn write_attempt(
        &mut self,
        purpose: Purpose,
        term: Term,
        base: Option<ResourceVersion>,
        now: Time,
    ) -> WriteAttempt {
        self.highest_term = self.highest_term.max(term);
        let write_id = self.write_id.take();
        let record = LeaseRecord {
            holder: (purpose != Purpose::Release).then(|| self.own_holder.clone()),
            term,
            duration_ms: u64::try_from(self.settings.duration.as_millis()).unwrap_or(u64::MAX),
        };
        let spec = serde_json::to_value(record).unwrap_or_default();
        let object = Object::new(ObjectKind::Leases, self.region.as_str(), spec)
            .version(base.clone())
            .set_write_id(&write_id);
        WriteAttempt {
            purpose,
            term,
            write: PendingWrite { write_id, base },
            object,
            first_sent_at: now,
        }
    }
}
