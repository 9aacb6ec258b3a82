//! What was known at the end of a response's body.

use daisychute_core::Time;
use daisychute_dispatch::SendDecision;

use crate::Dialect;
use crate::endpoint::response_reader::Framing;
use crate::state::FrontState;

/// The end of a response's body, as the front read it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BodyEnd {
    pub(crate) framing: Framing,
    /// Time from the end to the request's deadline, in ms; negative if the end was read later.
    pub(crate) left_ms: i64,
    /// Whether the endpoint was known to leave.
    pub(crate) leaving: bool,
}

impl BodyEnd {
    /// Records an end that was read now.
    pub(crate) fn new<D: Dialect>(
        state: &FrontState<D>,
        decision: &SendDecision,
        framing: Framing,
    ) -> Self {
        let leaving = state.with_dispatcher(|it| it.fleet().is_leaving(decision.endpoint));
        Self { framing, left_ms: signed_ms(decision.deadline, state.now()), leaving }
    }
}

fn signed_ms(deadline: Time, now: Time) -> i64 {
    let ms = |it: Time| i64::try_from(it.as_micros() / 1_000).unwrap_or(i64::MAX);
    ms(deadline) - ms(now)
}
