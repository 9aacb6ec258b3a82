//! Queries an engine for the prompt parts in its prefix cache.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use daisychute_core::EndpointName;
use daisychute_dispatch::{EndpointKey, Event, PromptPart};
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::Dialect;
use crate::endpoint::control_call::{ControlCallError, control_call};
use crate::state::FrontState;

/// An engine that takes longer is busy. Its cached parts become known as prompts are sent to it.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of concurrent queries: a front that starts among thousands of engines must not open a connection to
/// each.
const MAX_CONCURRENT_QUERIES: usize = 8;
/// Maximum number of queries that wait for a slot; engines beyond it aren't queried. A front learns what it needs of a
/// larger fleet from the prompts that it sends there.
const MAX_WAITING_QUERIES: usize = 128;
/// Maximum size of a response. An engine's memory holds some thousand parts of about 50 bytes each.
const MAX_RESPONSE_BYTES: usize = 2 * 1024 * 1024;

/// Why the cached parts of an engine stay unknown.
#[derive(Debug, thiserror::Error)]
enum CacheQueryError {
    #[error(transparent)]
    Call(#[from] ControlCallError),
    #[error("the response holds no list of prompt parts")]
    Unreadable,
    #[error("no response within the time limit")]
    Timeout,
}

/// Limits the cache queries that are in flight or waiting.
#[derive(Debug)]
pub(crate) struct CacheQueries {
    slots: Semaphore,
    waiting: Cell<usize>,
}

impl Default for CacheQueries {
    fn default() -> Self {
        Self { slots: Semaphore::new(MAX_CONCURRENT_QUERIES), waiting: Cell::new(0) }
    }
}

/// Queries an engine in a separate task, once a slot is free. Drops the query if too many are waiting.
pub(crate) fn spawn<D: Dialect>(
    state: &Rc<FrontState<D>>,
    endpoint: EndpointKey,
    name: EndpointName,
    address: SocketAddr,
) {
    let waiting = &state.cache_queries.waiting;
    if waiting.get() >= MAX_WAITING_QUERIES {
        log::debug!(endpoint:% = name; "cache query skipped: too many queries are waiting");
        return;
    }
    waiting.set(waiting.get() + 1);
    let state = Rc::clone(state);
    actix_rt::spawn(async move {
        let slot = state.cache_queries.slots.acquire().await;
        state.cache_queries.waiting.set(state.cache_queries.waiting.get() - 1);
        // `acquire` fails only on a closed semaphore, and this one is never closed.
        let Ok(_slot) = slot else { return };
        if !state.takes_work(endpoint) {
            log::debug!(endpoint:% = name; "cache query skipped: the engine takes no work");
            return;
        }
        let reported = timeout(QUERY_TIMEOUT, query(&state, endpoint, address)).await;
        match reported.unwrap_or(Err(CacheQueryError::Timeout)) {
            Ok(parts) => {
                log::info!(endpoint:% = name, parts = parts.len(); "engine told what it keeps");
                state.handle(Event::CacheReported { endpoint, parts });
            }
            Err(e) => {
                log::info!(endpoint:% = name, error:% = e; "what an engine keeps stays unknown")
            }
        }
    });
}

async fn query<D: Dialect>(
    state: &Rc<FrontState<D>>,
    endpoint: EndpointKey,
    address: SocketAddr,
) -> Result<Vec<PromptPart>, CacheQueryError> {
    let request = state.dialect.cache_query();
    let (_, body) = control_call(state, endpoint, address, request, MAX_RESPONSE_BYTES).await?;
    state.dialect.parse_cache_report(&body).ok_or(CacheQueryError::Unreadable)
}
