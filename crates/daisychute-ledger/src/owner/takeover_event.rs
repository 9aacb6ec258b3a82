//! What a takeover core is told and what it asks for.

use std::time::Duration;

use daisychute_core::Time;

use crate::{OwnerId, OwnerLease, OwnerTable, PutResult, ReadResult, Stored, Version, WallTime};

/// What a [`TakeoverCore`](crate::TakeoverCore) is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TakeoverEvent {
    /// The time that [`TakeoverAction::SetTimer`] named has come; also the first event.
    Tick,
    /// The owners that were heard lately, whose lease runs and who do not leave.
    Members(Vec<OwnerId>),
    /// Whether this process assigns slots that have no owner; one process of a region does.
    Assigner(bool),
    /// Every lease of the service, as a rare sweep of the assigner listed them.
    Swept(Vec<Stored<OwnerLease>>),
    /// Nothing was heard from this owner for several heartbeats.
    Suspect(OwnerId),
    /// The owner asks whether its lease may have been revoked.
    AskGrant {
        /// The owner.
        owner: OwnerId,
        /// Matches the answer to the question.
        nonce: u64,
    },
    /// How a write ended.
    Put {
        /// The number of the write.
        seq: u64,
        /// How it ended.
        result: PutResult,
    },
    /// The lease of an owner as it was read.
    Lease {
        /// The owner.
        owner: OwnerId,
        /// What was read.
        read: ReadResult<OwnerLease>,
    },
    /// The table as it was read.
    Table {
        /// The wall clock.
        wall: WallTime,
        /// What was read.
        read: ReadResult<OwnerTable>,
    },
}

/// What a [`TakeoverCore`](crate::TakeoverCore) asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TakeoverAction {
    /// Read the lease of an owner.
    GetLease(OwnerId),
    /// Write the lease of an owner if it has this version.
    PutLease {
        /// The number of the write.
        seq: u64,
        /// The version that it replaces.
        expect: Version,
        /// What to write.
        lease: OwnerLease,
    },
    /// Delete the lease of an owner if it has this version.
    DeleteLease {
        /// The owner.
        owner: OwnerId,
        /// The version of the lease.
        expect: Version,
    },
    /// Read the table.
    GetTable,
    /// Write the table if it has this version.
    PutTable {
        /// The number of the write.
        seq: u64,
        /// The version that it replaces.
        expect: Version,
        /// What to write.
        table: OwnerTable,
    },
    /// Answer the owner's question.
    Grant {
        /// The owner.
        owner: OwnerId,
        /// That of the question.
        nonce: u64,
        /// How long the owner may go on, from the moment it asked; none where its lease may have been revoked.
        span: Option<Duration>,
    },
    /// Send [`TakeoverEvent::Tick`] at this time.
    SetTimer(Time),
}
