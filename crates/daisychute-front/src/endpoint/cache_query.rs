//! Asks an engine which parts of prompts it keeps.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use daisychute_core::EndpointName;
use daisychute_dispatch::{EndpointKey, Event, PromptPart};
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::Dialect;
use crate::endpoint::own_call::{OwnCallError, own_call};
use crate::shared::Shared;

/// An engine that hasn't answered within this time is busy; its parts become known as prompts are sent there.
const LIMIT: Duration = Duration::from_secs(2);
/// So many engines are asked at once: a front that starts among thousands must not open a connection to each.
const AT_ONCE: usize = 8;
/// So many may wait for their turn; others aren't asked. What a front can use of a larger fleet becomes known by what
/// is sent there.
const MOST_WAITING: usize = 128;
/// An answer of more bytes isn't taken: an engine's memory holds some thousand parts of some 50 bytes.
const MOST_ANSWER: usize = 2 * 1024 * 1024;

/// Why the parts of an engine stay unknown.
#[derive(Debug, thiserror::Error)]
enum CacheQueryError {
    #[error(transparent)]
    Call(#[from] OwnCallError),
    #[error("the answer holds no list of parts")]
    Unreadable,
    #[error("no answer in time")]
    Late,
}

/// The questions under way.
#[derive(Debug)]
pub(crate) struct CacheQueries {
    turns: Semaphore,
    waiting: Cell<usize>,
}

impl Default for CacheQueries {
    fn default() -> Self {
        Self { turns: Semaphore::new(AT_ONCE), waiting: Cell::new(0) }
    }
}

/// Asks in a task of its own, when it is its turn.
pub(crate) fn spawn<D: Dialect>(
    shared: &Rc<Shared<D>>,
    endpoint: EndpointKey,
    name: EndpointName,
    address: SocketAddr,
) {
    let waiting = &shared.cache_queries.waiting;
    if waiting.get() >= MOST_WAITING {
        log::debug!(endpoint:% = name; "engine not asked what it keeps: too many are");
        return;
    }
    waiting.set(waiting.get() + 1);
    let shared = Rc::clone(shared);
    actix_rt::spawn(async move {
        let turn = shared.cache_queries.turns.acquire().await;
        shared.cache_queries.waiting.set(shared.cache_queries.waiting.get() - 1);
        // The semaphore is never closed.
        let Ok(_turn) = turn else { return };
        let asked = timeout(LIMIT, ask(&shared, address)).await;
        match asked.unwrap_or(Err(CacheQueryError::Late)) {
            Ok(parts) => {
                log::info!(endpoint:% = name, parts = parts.len(); "engine told what it keeps");
                shared.handle(Event::CacheReported { endpoint, parts });
            }
            Err(e) => {
                log::info!(endpoint:% = name, error:% = e; "what an engine keeps stays unknown")
            }
        }
    });
}

async fn ask<D: Dialect>(
    shared: &Shared<D>,
    address: SocketAddr,
) -> Result<Vec<PromptPart>, CacheQueryError> {
    let body = own_call(shared, address, shared.dialect.cache_query(), MOST_ANSWER).await?;
    shared.dialect.parse_cache_report(&body).ok_or(CacheQueryError::Unreadable)
}
