//! Client of the platform's object store, and sans-I/O cores for leases, configuration and membership.
//!
//! [`ObjectClient`] calls the object API of that store. Everything else is a sans-I/O core: a state machine that
//! receives the time and an event, and returns actions. It does no I/O and reads no clock; its randomness comes from a
//! seed.
//!
//! ```
//! use daisychute_core::{Configuration, Revision, Time};
//! use daisychute_store::{Replica, ReplicaAction, ReplicaEvent, ReplicaSettings};
//!
//! let mut replica: Replica<Configuration> = Replica::new(ReplicaSettings::default(), 7);
//! let mut out = Vec::new();
//! let peer = "agent-1".try_into()?;
//! let seen = ReplicaEvent::PeerRevision { peer, revision: Revision::new(3) };
//! replica.handle(Time::ZERO, seen, &mut out);
//! assert!(matches!(out[0], ReplicaAction::Pull { .. }));
//! # Ok::<(), daisychute_core::NameError>(())
//! ```

mod outcome;
mod backoff;
mod call_rate_limiter;
mod watcher_election;
mod client;
mod lease;
mod membership;
mod object;
mod replica;
mod resource_version;
mod pending_write;
mod watchers;

pub use crate::backoff::Backoff;
pub use crate::call_rate_limiter::{CallRateLimiter, CallRateSettings, RateLimited};
pub use crate::client::{CallError, ClientSettings, ObjectClient, UnavailableCause, Watch};
pub use crate::lease::{Holder, Lease, LeaseAction, LeaseEvent, LeaseRecord, LeaseSettings};
pub use crate::membership::{MemberAction, MemberEvent, MemberSettings, MemberState, Membership};
pub use crate::object::{Metadata, Object, ObjectKind, ObjectList, WatchEvent, WatchKind};
pub use crate::outcome::{ReadOutcome, WriteOutcome};
pub use crate::pending_write::{PendingWrite, WriteId, WriteResolution};
pub use crate::replica::{
    ConfigurationDocument, DocumentError, Replica, ReplicaAction, ReplicaEvent, ReplicaSettings,
    ReplicatedDocument,
};
pub use crate::resource_version::ResourceVersion;
pub use crate::watcher_election::{WatcherCandidate, WatcherElection};
pub use crate::watchers::elect_watchers;
