//! The result of submitting a request.

use daisychute_core::Refusal;

/// What the admission controller decided about a submitted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request starts now: the caller sends it to the endpoint.
    Admitted,
    /// The request is queued. [`next`](super::AdmissionController::next) or
    /// [`expire`](super::AdmissionController::expire) returns it later.
    Queued,
    /// The request is refused; the endpoint didn't run any of it.
    Refused(Refusal),
}
