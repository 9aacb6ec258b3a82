//! KV caches that were prefilled for requests and aren't fetched yet.

use daisychute_core::Time;

use crate::core::request_state::KvHandle;
use crate::{Action, Dispatcher, RequestKey};

impl Dispatcher {
    /// Releases the KV cache of a request if its engine may have dropped it, so that the prompt is prefilled again.
    /// An engine that is asked for a dropped one refuses the request, which costs an attempt.
    pub(crate) fn release_lapsed_cache(
        &mut self,
        now: Time,
        key: RequestKey,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.requests.get_mut(&key) else { return };
        let has_lapsed = |it: &mut KvHandle| it.lapses_at.is_some_and(|at| at <= now);
        if let Some(KvHandle { endpoint, address, handle, .. }) =
            state.kv_handle.take_if(has_lapsed)
        {
            actions.push(Action::ReleaseKvCache { endpoint, address, handle });
        }
    }
}
