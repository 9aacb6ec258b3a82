//! The control shell as the owner of the process's connections sees it.

use daisychute_core::{EndpointRecord, ProcessName, Revisions};
use daisychute_link::Documents;
use daisychute_planner::Control;
use daisychute_proto::Frame;

/// Passes on to the control shell what peers say.
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
