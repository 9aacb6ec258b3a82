//! At-most-once execution and durable jobs, as decision cores without I/O.
//!
//! | core | lives in | decides |
//! | --- | --- | --- |
//! | [`ServiceLedger`] | agent of a plain service | everything below for its service: [`LedgerCore`], [`OwnerCore`] and hand-overs |
//! | [`LedgerCore`] | agent | whether a call runs, waits for a run, is replayed or refused |
//! | [`OwnerCore`] | agent | until when the agent may admit calls, and for which slots |
//! | [`SlotMap`] | entry | which agent a call goes to |
//! | [`TakeoverCore`] | entry | who gets the slots of a lost owner, and when |
//! | [`JobSubmitter`] | entry | when a job is durable |
//! | [`JobRunner`] | entry | which jobs to claim and run, and what to publish |
//! | [`JobKeeper`] | entry | what to delete |
//!
//! [`LedgerCore`] sees every non-repeatable call before it goes out:
//!
//! ```
//! use bytes::Bytes;
//! use daisychute_core::{Incarnation, RequestId, TenantName, Time};
//! use daisychute_ledger::{
//!     Answer, CallDigest, CallKey, LedgerAction, LedgerCore, LedgerEvent, LedgerLimits, NewCall,
//!     Standing, WallTime,
//! };
//!
//! let tenant = TenantName::try_from("rabat-sale")?;
//! let key = CallKey::from_caller(tenant, "barrier-7:count-1201")?;
//! let call = |seq| NewCall {
//!     waiter: RequestId::new(Incarnation::new(1), seq),
//!     key: key.clone(),
//!     digest: CallDigest::of("POST", "/counts", b"+1"),
//!     standing: Standing::Owner { floor: None },
//!     wall: WallTime::from_millis(0),
//! };
//! let mut ledger = LedgerCore::new(LedgerLimits::default());
//! let mut out = Vec::new();
//!
//! ledger.handle(Time::ZERO, LedgerEvent::Call(call(1)), &mut out);
//! assert!(matches!(out[..], [LedgerAction::Run { .. }]));
//!
//! // A repeat waits for the same run.
//! out.clear();
//! ledger.handle(Time::ZERO, LedgerEvent::Call(call(2)), &mut out);
//! assert!(matches!(out[..], [LedgerAction::Wait { .. }]));
//!
//! // Both get the answer, and so does any later repeat.
//! out.clear();
//! let answer = Answer { status: 200, content_type: None, body: Bytes::from_static(b"41") };
//! ledger.handle(Time::ZERO, LedgerEvent::Answered { key: key.clone(), answer }, &mut out);
//! assert!(matches!(out[..2], [LedgerAction::Reply { .. }, LedgerAction::Reply { .. }]));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod frames;
mod hand_over;
mod jobs;
mod ledger;
mod owner;
mod service_ledger;
mod store;
mod wall_time;

pub use crate::hand_over::{HandOverPart, HandOverTaken};
pub use crate::jobs::{
    JobId, JobKeeper, JobLimits, JobResult, JobRunner, JobSpec, JobState, JobSubmitter,
    KeeperAction, KeeperEvent, ParseJobIdError, ResultObject, ResultObjectId, RunnerAction,
    RunnerEvent, Segment, SegmentId, SegmentState, SubmitAction, SubmitEvent,
};
pub use crate::ledger::{
    Answer, CallDigest, CallKey, EndedCall, Ending, KeyError, KeyOrigin, LedgerAction, LedgerCore,
    LedgerEvent, LedgerLimits, NewCall, Standing,
};
pub use crate::owner::{
    Destination, OwnerAction, OwnerCore, OwnerEvent, OwnerId, OwnerLease, OwnerTable, OwnerTimes,
    Slot, SlotMap, SlotOwner, TakeoverAction, TakeoverCore, TakeoverEvent,
};
pub use crate::service_ledger::{ServiceLedger, ServiceLedgerAction, ServiceLedgerEvent};
pub use crate::store::{ProcessId, PutResult, ReadResult, Stored, Version, VersionError, WriteId};
pub use crate::wall_time::WallTime;
