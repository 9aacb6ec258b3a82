//! Section `[listen]`: addresses that an entry or agent listens on.

use std::net::SocketAddr;

use crate::field::raw_section;
use crate::problem::Problems;
use crate::rule::Address;

raw_section! {
    /// Unchecked section `[listen]`. `callers` is checked together with the role, as only entries have it.
    RawListen {
        callers = "callers",
        inner = "inner",
        admin = "admin",
    }
}

/// Addresses that entries and agents listen on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenSettings {
    /// TCP address for connections from other entries and agents.
    pub inner: SocketAddr,
    /// HTTP address that serves metrics, health and status to operators.
    pub admin: SocketAddr,
}

impl TryFrom<&RawListen> for ListenSettings {
    type Error = Problems;

    fn try_from(raw: &RawListen) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let inner = problems.record(raw.inner.required(&Address));
        let admin = problems.record(raw.admin.required(&Address));
        match (inner, admin) {
            (Some(inner), Some(admin)) => Ok(Self { inner, admin }),
            _ => Err(problems),
        }
    }
}
