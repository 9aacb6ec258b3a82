//! Checks whether an endpoint that announced to leave stays after all.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use daisychute_core::EndpointName;
use daisychute_dispatch::{EndpointKey, Event};
use tokio::time::{sleep, timeout};

use crate::Dialect;
use crate::endpoint::control_call::control_call;
use crate::state::FrontState;

/// A health check waits for a slot of the endpoint; one that takes longer is repeated later.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);
/// Mean delay before a check. Fronts learn of a leaving endpoint at the same time, and must not check it together.
const MEAN_DELAY: Duration = Duration::from_secs(2);
/// Maximum size of a response, which carries no content beyond its head.
const MAX_RESPONSE_BYTES: usize = 4 * 1024;

/// Checks an endpoint in a separate task.
pub(crate) fn spawn<D: Dialect>(
    state: &Rc<FrontState<D>>,
    endpoint: EndpointKey,
    name: EndpointName,
    address: SocketAddr,
    path: Arc<str>,
) {
    let state = Rc::clone(state);
    actix_rt::spawn(async move {
        sleep(state.jitter(MEAN_DELAY)).await;
        if state.with_dispatcher(|it| it.fleet().is_paused(state.now(), endpoint)) {
            return;
        }
        let request = state.dialect.health_check(&path, &name);
        let call = control_call(&state, endpoint, address, request, MAX_RESPONSE_BYTES);
        match timeout(CHECK_TIMEOUT, call).await {
            Ok(Ok((head, _))) if state.dialect.is_staying(&head, &name) => {
                log::info!(endpoint:% = name; "endpoint stays after all");
                state.handle(Event::StayingConfirmed { endpoint });
            }
            Ok(Ok((head, _))) => {
                let status = head.status.as_u16();
                log::debug!(endpoint:% = name, status; "endpoint still announces to leave");
            }
            Ok(Err(error)) => {
                log::debug!(endpoint:% = name, error:%; "health check of a leaving endpoint failed")
            }
            Err(_) => {
                log::debug!(endpoint:% = name; "health check of a leaving endpoint timed out")
            }
        }
    });
}
