//! When endpoints begin responses, for those who wait for a sign of an endpoint.

use std::cell::RefCell;

use daisychute_core::Time;
use daisychute_dispatch::EndpointKey;
use rustc_hash::FxHashMap;
use tokio::sync::watch;

/// Tells of the responses that endpoints begin. Nothing is kept of endpoints that nobody watches.
#[derive(Debug, Default)]
pub(crate) struct Activity {
    /// For each endpoint, when the request was sent to which it responded last.
    watched: RefCell<FxHashMap<EndpointKey, watch::Sender<Time>>>,
}

impl Activity {
    /// Tells that an endpoint has begun its response to a request that was sent at this time.
    pub(crate) fn record(&self, endpoint: EndpointKey, sent_at: Time) {
        if let Some(tx) = self.watched.borrow().get(&endpoint) {
            tx.send_replace(sent_at);
        }
    }

    /// Watches an endpoint from now on. The receiver gets the time at which each request was sent that it responds to.
    pub(crate) fn watch(&self, endpoint: EndpointKey) -> watch::Receiver<Time> {
        let mut watched = self.watched.borrow_mut();
        watched.retain(|_, it| it.receiver_count() > 0);
        let tx = watched.entry(endpoint).or_insert_with(|| watch::Sender::new(Time::ZERO));
        tx.subscribe()
    }
}
