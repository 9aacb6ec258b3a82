//! Spans of time of the leases.

use std::time::Duration;

/// Spans of time that every process of a deployment shares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerTimes {
    /// How long a renewal lets an owner admit calls, from the moment it was sent.
    pub lease: Duration,
    /// The time between two renewals.
    // Invariant: less than half of `lease`.
    pub renew: Duration,
    /// How long an owner may go on after a standby said that it has not revoked the lease.
    // Invariant: at most `lease`.
    pub grant: Duration,
    /// How long a lease must stay unchanged before a process that is not one of its standbys may revoke it.
    pub orphan: Duration,
    /// Added to `lease` before the slots of a revoked owner are given away, for clocks that run at different rates.
    pub margin: Duration,
}

impl Default for OwnerTimes {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(15),
            renew: Duration::from_secs(5),
            grant: Duration::from_secs(15),
            orphan: Duration::from_secs(3_600),
            margin: Duration::from_secs(1),
        }
    }
}
