//! Frees KV caches on prefill engines that no decode engine will fetch.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use daisychute_dispatch::EndpointKey;
use tokio::time::timeout;

use crate::Dialect;
use crate::endpoint::control_call::control_call;
use crate::state::FrontState;

/// An engine drops a KV cache by itself when its lifetime ends, so a release that takes longer is abandoned.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a response, which carries no content beyond its status.
const MAX_RESPONSE_BYTES: usize = 4 * 1024;

/// Frees a KV cache in a separate task and logs the outcome.
pub(crate) fn spawn<D: Dialect>(
    state: &Rc<FrontState<D>>,
    endpoint: EndpointKey,
    address: SocketAddr,
    handle: &Arc<str>,
) {
    let (state, handle) = (Rc::clone(state), Arc::clone(handle));
    actix_rt::spawn(async move {
        let request = state.dialect.release_request(&handle);
        let call = control_call(&state, endpoint, address, request, MAX_RESPONSE_BYTES);
        let outcome = match timeout(RELEASE_TIMEOUT, call).await {
            Ok(Ok(_)) => "freed".to_owned(),
            Ok(Err(e)) => e.to_string(),
            Err(_) => "timed out".to_owned(),
        };
        log::info!(address:%, handle:%, outcome; "unused KV cache released");
    });
}
