//! The platform objects that say who owns what.

use serde::{Deserialize, Serialize};

use crate::{CallKey, OwnerId, ProcessId, Slot, WallTime};

/// The lease of one owner. Only the owner renews it; a standby may revoke it; nobody undoes a revocation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerLease {
    /// The owner.
    pub owner: OwnerId,
    /// The processes that may revoke it at any time.
    pub standbys: Vec<ProcessId>,
    /// Who revoked it.
    pub revoked_by: Option<ProcessId>,
}

/// The owner of one slot.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotOwner {
    /// The owner; none before the first, or while no agent is left.
    pub owner: Option<OwnerId>,
    /// Counts the changes of owner.
    pub epoch: u64,
    /// When records of the slot were last lost with their owner.
    pub floor: Option<WallTime>,
    /// The owner that the present one is asked to hand over to.
    pub next: Option<OwnerId>,
}

/// The owners of all slots of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerTable {
    // Invariant: never changes its length and is not empty.
    slots: Vec<SlotOwner>,
}

impl Default for OwnerTable {
    fn default() -> Self {
        Self::new(Self::SLOTS)
    }
}

impl OwnerTable {
    /// The number of slots of a service.
    pub const SLOTS: u16 = 256;

    /// A table whose slots have no owner yet.
    #[must_use]
    pub fn new(slots: u16) -> Self {
        Self { slots: vec![SlotOwner::default(); usize::from(slots.max(1))] }
    }

    /// The slot of a key.
    #[must_use]
    pub fn slot_of(&self, key: &CallKey) -> Slot {
        let len = self.slots.len() as u64;
        Slot::new(u16::try_from(key.hash64() % len).unwrap_or_default())
    }

    /// The owner of a slot.
    #[must_use]
    pub fn get(&self, slot: Slot) -> Option<&SlotOwner> {
        self.slots.get(slot.index())
    }

    /// All slots, in order.
    pub fn iter(&self) -> impl Iterator<Item = (Slot, &SlotOwner)> {
        (0..).map(Slot::new).zip(&self.slots)
    }

    /// The slots of an owner, in order.
    pub fn owned_by(&self, owner: &OwnerId) -> impl Iterator<Item = Slot> {
        self.iter().filter(|(_, it)| it.owner.as_ref() == Some(owner)).map(|(slot, _)| slot)
    }

    /// The slots without an owner, in order.
    pub fn free(&self) -> impl Iterator<Item = Slot> {
        self.iter().filter(|(_, it)| it.owner.is_none()).map(|(slot, _)| slot)
    }

    /// Whether any owner is asked to hand a slot over.
    #[must_use]
    pub fn is_handing_over(&self) -> bool {
        self.slots.iter().any(|it| it.next.is_some())
    }

    /// Withdraws the requests to hand over to an owner that `keep` rejects.
    pub fn retain_next(&mut self, keep: impl Fn(&OwnerId) -> bool) {
        for it in &mut self.slots {
            it.next.take_if(|next| !keep(next));
        }
    }

    /// Gives a slot to an owner who has its records, or to the first one.
    pub fn hand_over(&mut self, slot: Slot, to: OwnerId) {
        if let Some(it) = self.slots.get_mut(slot.index()) {
            *it = SlotOwner { owner: Some(to), epoch: it.epoch + 1, floor: it.floor, next: None };
        }
    }

    /// Gives a slot away whose records are lost.
    pub fn take_over(&mut self, slot: Slot, to: Option<OwnerId>, wall: WallTime) {
        if let Some(it) = self.slots.get_mut(slot.index()) {
            let floor = it.floor.max(Some(wall));
            *it = SlotOwner { owner: to, epoch: it.epoch + 1, floor, next: None };
        }
    }

    /// Asks the owner of a slot to hand it over.
    pub fn ask_hand_over(&mut self, slot: Slot, to: OwnerId) {
        if let Some(it) = self.slots.get_mut(slot.index()) {
            it.next = Some(to);
        }
    }
}
