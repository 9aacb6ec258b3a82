//! What an agent may do with a key that it has no record of.

use std::time::Duration;

use daisychute_core::{Refusal, RefusalReason};

use crate::{CallKey, KeyOrigin, WallTime};

/// The authority of an agent over the slot of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// The agent is the owner and its lease runs.
    Owner {
        /// When records of the slot were last lost; none if they never were.
        floor: Option<WallTime>,
    },
    /// The agent is the owner by what it last read, but its lease has lapsed.
    Lapsed,
    /// The agent is not the owner.
    NotOwner,
}

impl Standing {
    /// When an ownerless call is to be tried again.
    const RETRY_AFTER: Duration = Duration::from_secs(2);

    /// Whether a key without a record may run now.
    ///
    /// # Errors
    ///
    /// The refusal to send instead: `not_run` where the agent has no authority, `unknown` where a record may have
    /// been lost or forgotten.
    pub fn admit(self, key: &CallKey, wall: WallTime, retention: Duration) -> Result<(), Refusal> {
        if key.origin() == KeyOrigin::Entry {
            return Ok(());
        }
        match self {
            Self::Owner { floor } => check_age(key.made_at(), floor, wall, retention),
            Self::Lapsed => Err(Refusal::not_run(RefusalReason::PlatformDown)),
            Self::NotOwner => Err(Refusal::not_run(RefusalReason::NoEndpoint)),
        }
        .map_err(|it| it.retry_after(Self::RETRY_AFTER))
    }
}

fn check_age(
    made_at: Option<WallTime>,
    floor: Option<WallTime>,
    wall: WallTime,
    retention: Duration,
) -> Result<(), Refusal> {
    let lost = Refusal::unknown(RefusalReason::EndpointLost);
    match (made_at, floor) {
        (Some(made), _) if made > wall.after(WallTime::MAX_SKEW) => {
            Err(Refusal::not_run(RefusalReason::Deadline))
        }
        (Some(made), _) if made.after(retention) <= wall.after(WallTime::MAX_SKEW) => {
            Err(Refusal::unknown(RefusalReason::Deadline))
        }
        // An earlier owner ran keys up to `MAX_SKEW` ahead of its clock, which was up to `MAX_SKEW` ahead of ours.
        (Some(made), Some(floor)) if made <= floor.after(2 * WallTime::MAX_SKEW) => Err(lost),
        (None, Some(floor)) if wall <= floor.after(retention + 2 * WallTime::MAX_SKEW) => Err(lost),
        _ => Ok(()),
    }
}
