//! The other fronts.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The fronts that the directory lists.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    listed: RefCell<BTreeMap<String, SocketAddr>>,
}

impl Peers {
    /// A front is listed, or not any more.
    pub(crate) fn listed(&self, name: String, address: Option<SocketAddr>) {
        let mut listed = self.listed.borrow_mut();
        match address {
            Some(address) => listed.insert(name, address),
            None => listed.remove(&name),
        };
    }
}
