//! Settings that a front takes over while it serves.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use daisychute_dispatch::DispatchSettings;
use tokio::sync::watch;

use crate::state::FrontState;
use crate::{CapacityLimits, Dialect, Front};

/// Settings of a front that may change while it serves. A change holds for all that comes after it; what is under way
/// ends as it began.
#[derive(Debug, Clone, PartialEq)]
pub struct LiveSettings {
    /// How many requests and client connections the machine can handle.
    pub capacity: CapacityLimits,
    /// The deployment's settings for the dispatcher.
    pub dispatch: DispatchSettings,
    /// Snapshot addresses of the fronts that are asked when the directory is unreachable.
    pub seeds: Vec<SocketAddr>,
    /// Time within which connections to the directory that went silent must have been replaced.
    pub max_silence: Duration,
    /// Time limit for a graceful shutdown that hasn't begun yet.
    pub shutdown_timeout: Duration,
}

impl From<&Front> for LiveSettings {
    fn from(front: &Front) -> Self {
        Self {
            capacity: front.capacity,
            dispatch: front.dispatch.clone(),
            seeds: front.seeds.clone(),
            max_silence: front.max_silence,
            shutdown_timeout: front.shutdown_timeout,
        }
    }
}

/// Takes over each change, until the sender is dropped.
pub(crate) async fn follow<D: Dialect>(
    state: Rc<FrontState<D>>,
    mut changes: watch::Receiver<LiveSettings>,
) {
    while changes.changed().await.is_ok() {
        state.apply_settings(changes.borrow_and_update().clone());
    }
}
