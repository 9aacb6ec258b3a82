//! The answer to an offer.

use daisychute_core::Refusal;

/// What becomes of an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It starts now: the caller hands it to the endpoint.
    Admitted,
    /// It waits. [`next`](super::AdmissionController::next) or
    /// [`expire`](super::AdmissionController::expire) names it later.
    Queued,
    /// It is refused and was not run.
    Refused(Refusal),
}
