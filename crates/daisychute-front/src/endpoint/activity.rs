//! When endpoints begin responses, for those who wait for a sign of an endpoint.

use std::cell::RefCell;

use daisychute_core::Time;
use daisychute_dispatch::EndpointKey;
use rustc_hash::FxHashMap;
use tokio::sync::watch;

/// The beginning of a response.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Beginning {
    /// When the request was sent.
    pub(crate) sent_at: Time,
    /// When the response began.
    pub(crate) began_at: Time,
}

/// Tells of the responses that endpoints begin. Nothing is kept of endpoints that nobody watches.
#[derive(Debug, Default)]
pub(crate) struct Activity {
    /// The response that each endpoint began last.
    watched: RefCell<FxHashMap<EndpointKey, watch::Sender<Beginning>>>,
}

impl Activity {
    /// Tells that an endpoint has begun a response.
    pub(crate) fn record(&self, endpoint: EndpointKey, beginning: Beginning) {
        if let Some(tx) = self.watched.borrow().get(&endpoint) {
            tx.send_replace(beginning);
        }
    }

    /// Watches an endpoint from now on.
    pub(crate) fn watch(&self, endpoint: EndpointKey) -> watch::Receiver<Beginning> {
        let mut watched = self.watched.borrow_mut();
        watched.retain(|_, it| it.receiver_count() > 0);
        let tx =
            watched.entry(endpoint).or_insert_with(|| watch::Sender::new(Beginning::default()));
        tx.subscribe()
    }
}
