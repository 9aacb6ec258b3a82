//! How the owner of connections passes on what concerns the replicated documents.

use daisychute_core::{EndpointRecord, ProcessName};
use daisychute_proto::{Frame, Revisions};

/// Replicates the configuration and the plan between processes.
pub trait Documents {
    /// Called when a peer has reported the revisions of its documents.
    fn revisions_reported(&self, peer: &ProcessName, revisions: Revisions);
    /// Called when the last connection to a peer has ended.
    fn peer_disconnected(&self, peer: &ProcessName);
    /// Called when a peer has sent a frame that concerns the documents.
    fn frame_received(&self, peer: &ProcessName, frame: Frame);
    /// Called when an agent has reported the record of its endpoint.
    fn endpoint_observed(&self, record: &EndpointRecord);
    /// Requests the newest plan from the platform store.
    fn confirm_plan(&self);
}

/// Does nothing, for processes without replicated documents.
impl Documents for () {
    fn revisions_reported(&self, _peer: &ProcessName, _revisions: Revisions) {}

    fn peer_disconnected(&self, _peer: &ProcessName) {}

    fn frame_received(&self, _peer: &ProcessName, _frame: Frame) {}

    fn endpoint_observed(&self, _record: &EndpointRecord) {}

    fn confirm_plan(&self) {}
}
