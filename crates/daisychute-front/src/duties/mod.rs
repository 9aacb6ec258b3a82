//! Calls to the platform's control API that one front at a time makes.
//!
//! A [`Lease`](daisychute_store::Lease) in the platform's store decides which front that is; its terms are the fencing
//! tokens. All fronts count the requests of tenants and send their counts to the holder and to one standby. The holder
//! freezes a window of counts in the store before it reports it, so that a successor reports the same counts.

pub(crate) mod boot_clock;
pub(crate) mod control_api;
pub(crate) mod duty_news;
pub(crate) mod duty_store;
pub(crate) mod input;
pub(crate) mod link;
pub(crate) mod settings;
pub(crate) mod share_datagram;
pub(crate) mod task;

use crate::DutySettings;

/// The duties of a front, with the control API that it calls.
#[derive(Debug, Clone)]
pub struct Duties<A> {
    /// Settings of the duties.
    pub settings: DutySettings,
    /// The platform's control API.
    pub api: A,
}
