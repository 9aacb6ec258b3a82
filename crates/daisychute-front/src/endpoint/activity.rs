//! What endpoints do, for those who wait for a sign of one.

use std::cell::RefCell;
use std::rc::Rc;

use daisychute_dispatch::{EndpointKey, EndpointSign};
use rustc_hash::FxHashMap;
use tokio::sync::watch;

/// The latest sign of each kind that an endpoint gave.
#[derive(Debug, Clone, Copy, Default)]
struct LatestSigns {
    responded: Option<EndpointSign>,
    answered: Option<EndpointSign>,
    refused: Option<EndpointSign>,
}

impl LatestSigns {
    fn slots(&mut self) -> [&mut Option<EndpointSign>; 3] {
        [&mut self.responded, &mut self.answered, &mut self.refused]
    }

    const fn record(&mut self, sign: EndpointSign) {
        match sign {
            EndpointSign::Responded { .. } => self.responded = Some(sign),
            EndpointSign::Answered { .. } => self.answered = Some(sign),
            EndpointSign::Refused { .. } => self.refused = Some(sign),
            EndpointSign::Unwatched
            | EndpointSign::Gone
            | EndpointSign::Unanswered
            | EndpointSign::Due { .. } => {}
        }
    }
}

/// Tells of the signs that endpoints give. Nothing is kept of endpoints that nobody watches.
#[derive(Debug, Default)]
pub(crate) struct Activity {
    watched: RefCell<FxHashMap<EndpointKey, Rc<watch::Sender<LatestSigns>>>>,
}

impl Activity {
    /// Tells that an endpoint has begun a response, answered a check or refused a request.
    pub(crate) fn record(&self, endpoint: EndpointKey, sign: EndpointSign) {
        if let Some(tx) = self.watched.borrow().get(&endpoint) {
            tx.send_modify(|it| it.record(sign));
        }
    }

    /// Watches an endpoint from now on.
    pub(crate) fn watch(&self, endpoint: EndpointKey) -> SignReceiver {
        let mut watched = self.watched.borrow_mut();
        watched.retain(|_, it| it.receiver_count() > 0);
        let tx = watched.entry(endpoint).or_default();
        let rx = tx.subscribe();
        let known = *rx.borrow();
        SignReceiver { _tx: Rc::clone(tx), rx, known }
    }
}

/// Receives the signs of one endpoint; of several of the same kind the latest.
pub(crate) struct SignReceiver {
    /// Kept so that the channel stays open.
    _tx: Rc<watch::Sender<LatestSigns>>,
    rx: watch::Receiver<LatestSigns>,
    /// The signs that were received, or were there before.
    known: LatestSigns,
}

impl SignReceiver {
    /// Waits for the next sign.
    pub(crate) async fn next(&mut self) -> EndpointSign {
        loop {
            let mut latest = *self.rx.borrow_and_update();
            for (known, latest) in self.known.slots().into_iter().zip(latest.slots()) {
                if known != latest
                    && let Some(sign) = *latest
                {
                    *known = Some(sign);
                    return sign;
                }
            }
            if self.rx.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }
}
