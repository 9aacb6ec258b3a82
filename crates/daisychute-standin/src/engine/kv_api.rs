//! API calls that export and import KV caches.

use actix_http::StatusCode;
use serde::Deserialize;
use serde_json::json;

use super::kv::{self, KvCache};
use super::state::State;
use crate::http::{Incoming, Reply, empty, json as json_reply};

/// JSON body of `POST /kv/export`.
#[derive(Debug, Deserialize)]
struct ExportRequest {
    request: String,
}

/// JSON body of `POST /kv/import`.
#[derive(Debug, Deserialize)]
struct ImportRequest {
    handle: String,
    from: String,
}

/// Exports the KV cache of a request, so that another engine can import it.
pub(super) fn export(state: &State, req: &Incoming) -> Reply {
    let Ok(export) = serde_json::from_slice::<ExportRequest>(&req.body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let Some(cache) = state.export(&export.request) else { return empty(StatusCode::NOT_FOUND) };
    let from = req.header("host").unwrap_or_default();
    let body = json!({
        "handle": cache.handle,
        "tokens": cache.tokens,
        "bytes": cache.bytes,
        "from": from,
    });
    json_reply(StatusCode::OK, &body)
}

/// Imports a KV cache from another engine. Takes a time in proportion to its number of tokens.
pub(super) async fn import(state: &State, req: &Incoming) -> Reply {
    let Ok(import) = serde_json::from_slice::<ImportRequest>(&req.body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    match kv::fetch(&import.from, &import.handle).await {
        Ok(cache) => {
            actix_rt::time::sleep(state.config.import_token * cache.tokens).await;
            state.import(cache);
            empty(StatusCode::OK)
        }
        Err(err) => {
            log::debug!("can't import a KV cache from {}: {err}", import.from);
            empty(StatusCode::NOT_FOUND)
        }
    }
}

impl State {
    fn export(&self, request: &str) -> Option<KvCache> {
        let started = self.started.get();
        let mut memory = self.memory.borrow_mut();
        let sequence = memory.requests.get(request).filter(|it| it.generated() > 0)?;
        let tokens = sequence.prompt_tokens + sequence.job.first_index + sequence.generated();
        let cache = KvCache {
            handle: memory.kv.next_handle(started),
            prompt: sequence.job.prompt.clone(),
            tokens,
            bytes: u64::from(tokens) * self.config.kv_token_bytes,
        };
        memory.kv.export(cache.clone());
        self.seen.borrow_mut().exports += 1;
        Some(cache)
    }

    fn import(&self, cache: KvCache) {
        let mut seen = self.seen.borrow_mut();
        seen.imports += 1;
        seen.imported_bytes += cache.bytes;
        self.memory.borrow_mut().kv.import(cache);
    }
}
