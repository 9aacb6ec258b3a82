//! Connects the control shell to the task that owns the process's connections.

use daisychute_core::{EndpointRecord, ProcessName, Revisions};
use daisychute_link::Documents;
use daisychute_planner::Control;
use daisychute_proto::Frame;

/// Forwards what peers report, and requests to confirm the plan, to the control shell.
#[derive(Clone)]
pub(crate) struct SharedDocuments(Control);

impl SharedDocuments {
    pub(crate) const fn new(control: Control) -> Self {
        Self(control)
    }
}

impl Documents for SharedDocuments {
    fn revisions_reported(&self, peer: &ProcessName, revisions: Revisions) {
        self.0.peer_revisions(peer, revisions);
    }

    fn peer_disconnected(&self, peer: &ProcessName) {
        self.0.peer_disconnected(peer);
    }

    fn frame_received(&self, peer: &ProcessName, frame: Frame) {
        self.0.frame_from_peer(peer, frame);
    }

    fn endpoint_observed(&self, record: &EndpointRecord) {
        self.0.endpoint_observed(record);
    }

    fn confirm_plan(&self) {
        self.0.confirm_plan();
    }
}
