//! Reports the progress of a request to the core.

use std::rc::Rc;

use daisychute_proto::Start;
use tokio::sync::mpsc::UnboundedSender;

use super::Input;
use crate::core::{EndpointReport, Event};

/// Reports the progress of one run of a request to the core.
#[derive(Debug, Clone)]
pub(crate) struct Reporter {
    start: Rc<Start>,
    tx: UnboundedSender<Input>,
}

impl Reporter {
    pub(crate) const fn new(start: Rc<Start>, tx: UnboundedSender<Input>) -> Self {
        Self { start, tx }
    }

    pub(crate) fn start(&self) -> &Start {
        &self.start
    }

    pub(crate) fn report(&self, report: EndpointReport) {
        let event = Event::Endpoint { id: self.start.id, attempt: self.start.attempt, report };
        // The task ends only when the process shuts down.
        let _ = self.tx.send(Input::Event(event));
    }
}
