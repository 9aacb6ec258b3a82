//! What the owner of connections passes on about the shared documents.

use daisychute_core::{EndpointRecord, ProcessName};
use daisychute_proto::{Frame, Revisions};

/// Takes part in spreading the shared documents of the system among the processes.
pub trait Documents {
    /// A peer has said which documents it has in force.
    fn revisions_reported(&self, peer: &ProcessName, revisions: Revisions);
    /// There is no connection to a peer any more.
    fn peer_disconnected(&self, peer: &ProcessName);
    /// A peer has sent a frame that belongs to the documents.
    fn frame_received(&self, peer: &ProcessName, frame: Frame);
    /// An agent has said what its endpoint is.
    fn endpoint_observed(&self, record: &EndpointRecord);
    /// Asks for the newest plan on the platform.
    fn confirm_plan(&self);
}

/// Takes no part: for processes without shared documents.
impl Documents for () {
    fn revisions_reported(&self, _peer: &ProcessName, _revisions: Revisions) {}

    fn peer_disconnected(&self, _peer: &ProcessName) {}

    fn frame_received(&self, _peer: &ProcessName, _frame: Frame) {}

    fn endpoint_observed(&self, _record: &EndpointRecord) {}

    fn confirm_plan(&self) {}
}
