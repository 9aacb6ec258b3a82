//! One write of a lease object, and the call that is under way.

use daisychute_core::{Term, Time};

use super::{Lease, LeaseRecord, LeaseSettings};
use crate::{Object, ObjectKind, PendingWrite, ResourceVersion};

/// What a write of the lease is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    Acquire,
    Renew,
    Release,
}

/// A write of the lease.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub(super) purpose: Purpose,
    pub(super) term: Term,
    pub(super) write: PendingWrite,
    pub(super) object: Object,
    /// When it was first sent.
    pub(super) sent_at: Time,
}

impl Attempt {
    /// Until when the holder may act if this write took effect.
    pub(super) fn until(&self, settings: &LeaseSettings) -> Time {
        self.sent_at + settings.duration.saturating_sub(settings.margin)
    }
}

/// The call that is under way.
#[derive(Debug, Clone)]
pub(super) enum Call {
    None,
    Reading,
    Writing(Attempt),
    /// The answer was lost; the read-back is due later.
    Unsettled(Attempt),
    /// Reading back after a lost answer.
    Settling(Attempt),
}

impl Lease {
    pub(super) fn attempt(
        &mut self,
        purpose: Purpose,
        term: Term,
        base: Option<ResourceVersion>,
        now: Time,
    ) -> Attempt {
        self.highest = self.highest.max(term);
        let write_id = self.write_id.take();
        let record = LeaseRecord {
            holder: (purpose != Purpose::Release).then(|| self.me.clone()),
            term,
            duration_ms: u64::try_from(self.settings.duration.as_millis()).unwrap_or(u64::MAX),
        };
        let spec = serde_json::to_value(record).unwrap_or_default();
        let object = Object::new(ObjectKind::Leases, self.region.as_str(), spec)
            .version(base.clone())
            .set_write_id(&write_id);
        Attempt { purpose, term, write: PendingWrite { write_id, base }, object, sent_at: now }
    }
}
