//! Passing the records of a slot from one owner to the next.

use std::collections::BTreeMap;
use std::time::Duration;

use daisychute_core::Time;
use serde::{Deserialize, Serialize};

use crate::{EndedCall, LedgerCore, OwnerCore, OwnerId, Slot};

/// Owner to next owner: a part of the records of a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOverPart {
    /// The owner that gives the slot up.
    pub from: OwnerId,
    /// The next owner.
    pub to: OwnerId,
    /// The slot.
    pub slot: Slot,
    /// Counts the parts of the slot, from 0.
    pub index: u32,
    /// The records.
    pub calls: Vec<EndedCall>,
}

/// Next owner to owner: the records of this part have been taken over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOverTaken {
    /// That of the part.
    pub from: OwnerId,
    /// That of the part.
    pub to: OwnerId,
    /// That of the part.
    pub slot: Slot,
    /// That of the part.
    pub index: u32,
}

#[derive(Debug)]
struct Outgoing {
    to: OwnerId,
    // Invariant: none while a key of the slot still runs; afterwards fixed, for no new key runs.
    calls: Option<Vec<EndedCall>>,
    // Records before this one have been taken over.
    taken: usize,
    index: u32,
    sent: Option<Time>,
}

/// The slots that an owner is handing over, one part under way for each.
#[derive(Debug, Default)]
pub(crate) struct HandOvers {
    slots: BTreeMap<Slot, Outgoing>,
}

impl HandOvers {
    /// The time after which a part is sent again, and after which running keys are looked at again.
    const RETRY: Duration = Duration::from_millis(500);
    /// The records of one part, in bytes.
    const PART_BYTES: usize = 256 * 1024;

    pub(crate) fn begin(&mut self, slot: Slot, to: OwnerId) {
        let outgoing = Outgoing { to, calls: None, taken: 0, index: 0, sent: None };
        self.slots.insert(slot, outgoing);
    }

    /// Forgets slots that are not being released any more.
    pub(crate) fn retain(&mut self, owner: &OwnerCore) {
        self.slots.retain(|slot, it| owner.is_releasing(*slot, &it.to));
    }

    /// The parts to send now.
    pub(crate) fn send(
        &mut self,
        now: Time,
        owner: &OwnerCore,
        ledger: &LedgerCore,
    ) -> Vec<HandOverPart> {
        let mut parts = Vec::new();
        for (slot, it) in &mut self.slots {
            if it.sent.is_some_and(|sent| now < sent + Self::RETRY) {
                continue;
            }
            if it.calls.is_none() && !ledger.is_running(|key| owner.is_in(*slot, key)) {
                it.calls = Some(ledger.ended(|key| owner.is_in(*slot, key)));
            }
            if let Some(calls) = &it.calls {
                it.sent = Some(now);
                parts.push(HandOverPart {
                    from: owner.id().clone(),
                    to: it.to.clone(),
                    slot: *slot,
                    index: it.index,
                    calls: part(&calls[it.taken..]).to_vec(),
                });
            }
        }
        parts
    }

    /// Notes that a part was taken over. Returns whether it was the last one.
    pub(crate) fn taken(&mut self, owner: &OwnerId, answer: &HandOverTaken) -> bool {
        let Some(it) = self.slots.get_mut(&answer.slot) else { return false };
        if answer.from != *owner || answer.to != it.to || answer.index != it.index {
            return false;
        }
        let Some(calls) = &it.calls else { return false };
        it.taken += part(&calls[it.taken..]).len();
        it.index += 1;
        it.sent = None;
        it.taken == calls.len()
    }

    /// When [`HandOvers::send`] may have something to do.
    pub(crate) fn next_send(&self, now: Time) -> Option<Time> {
        (!self.slots.is_empty()).then(|| now + Self::RETRY)
    }
}

/// The first calls that fit into one part; at least one, if there is any.
fn part(calls: &[EndedCall]) -> &[EndedCall] {
    let mut bytes = 0;
    let fits = |it: &&EndedCall| {
        bytes += it.len_bytes();
        bytes <= HandOvers::PART_BYTES
    };
    let len = calls.iter().take_while(fits).count();
    &calls[..len.max(1).min(calls.len())]
}
