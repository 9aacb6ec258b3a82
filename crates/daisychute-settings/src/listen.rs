//! Section `[listen]`: the addresses that this process listens on.

use std::net::SocketAddr;

use crate::field::raw_section;
use crate::problem::Problems;
use crate::rule::Address;

raw_section! {
    /// Section `[listen]` as it stands in the file. `callers` is checked with the role.
    RawListen {
        callers = "callers",
        inner = "inner",
        admin = "admin",
    }
}

/// The addresses that processes of both roles listen on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenSettings {
    /// For the inner protocol, from other processes of the system.
    pub inner: SocketAddr,
    /// For metrics, health and status, from operators.
    pub admin: SocketAddr,
}

impl TryFrom<&RawListen> for ListenSettings {
    type Error = Problems;

    fn try_from(raw: &RawListen) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let inner = problems.keep(raw.inner.required(&Address));
        let admin = problems.keep(raw.admin.required(&Address));
        match (inner, admin) {
            (Some(inner), Some(admin)) => Ok(Self { inner, admin }),
            _ => Err(problems),
        }
    }
}
