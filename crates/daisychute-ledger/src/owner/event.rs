//! What an owner is told and what it asks for.

use std::time::Duration;

use daisychute_core::Time;

use crate::{OwnerId, OwnerLease, OwnerTable, ProcessId, PutResult, ReadResult, Slot, Version};

/// What an owner is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerEvent {
    /// The time that [`OwnerAction::SetTimer`] named has come; also the first event.
    Tick,
    /// The entries that may be standbys, best first. The first [`OwnerCore::STANDBYS`] are named.
    ///
    /// [`OwnerCore::STANDBYS`]: crate::OwnerCore::STANDBYS
    Standbys(Vec<ProcessId>),
    /// How a write ended.
    Put {
        /// The number of the write.
        seq: u64,
        /// How it ended.
        result: PutResult,
    },
    /// The own lease as it was read.
    Lease(ReadResult<OwnerLease>),
    /// The table as it was read from the platform.
    Table(ReadResult<OwnerTable>),
    /// A standby's answer to [`OwnerAction::AskGrant`].
    Grant {
        /// The standby.
        by: ProcessId,
        /// That of the question.
        nonce: u64,
        /// How long the owner may go on, from the moment it asked; none where the standby refuses.
        span: Option<Duration>,
    },
    /// The next owner has taken over every record of this slot.
    HandedOver {
        /// The slot.
        slot: Slot,
        /// The next owner.
        to: OwnerId,
    },
    /// The agent leaves: hand every slot over to these.
    Leave {
        /// The owners that stay.
        to: Vec<OwnerId>,
    },
}

/// What an owner asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerAction {
    /// Write the own lease if it has this version, and report [`OwnerEvent::Put`].
    PutLease {
        /// The number of the write.
        seq: u64,
        /// The version that it replaces.
        expect: Version,
        /// What to write.
        lease: OwnerLease,
    },
    /// Read this lease and report [`OwnerEvent::Lease`].
    GetLease(OwnerId),
    /// Write the table if it has this version, and report [`OwnerEvent::Put`].
    PutTable {
        /// The number of the write.
        seq: u64,
        /// The version that it replaces.
        expect: Version,
        /// What to write.
        table: OwnerTable,
    },
    /// Read the table and report [`OwnerEvent::Table`].
    GetTable,
    /// Ask a standby whether it has revoked the lease.
    AskGrant {
        /// The standby.
        standby: ProcessId,
        /// Whose lease.
        owner: OwnerId,
        /// Matches the answer to the question.
        nonce: u64,
    },
    /// Hand the records of a slot over, and report [`OwnerEvent::HandedOver`].
    Release {
        /// The slot.
        slot: Slot,
        /// The next owner.
        to: OwnerId,
    },
    /// Send [`OwnerEvent::Tick`] at this time. It replaces any earlier timer of the owner.
    SetTimer(Time),
}
