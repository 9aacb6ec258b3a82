//! Exported and imported KV caches, which disaggregated prefill and decode engines transfer.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum number of exports, and of imports, that are retained; the oldest ones are dropped.
const MAX_RETAINED: usize = 256;

/// Description of an exported cache, which one engine sends to another in place of the data.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct KvCache {
    pub(super) handle: String,
    /// The prompt that the cache was computed from.
    pub(super) prompt: String,
    pub(super) tokens: u32,
    pub(super) bytes: u64,
}

/// The reason why a cache can't be imported.
#[derive(Debug, Error)]
pub(super) enum ImportError {
    #[error("the other engine can't be reached")]
    Send(#[from] awc::error::SendRequestError),
    #[error("the other engine doesn't have the cache")]
    NotFound,
    #[error("the other engine's response isn't a KV cache")]
    Malformed(#[from] awc::error::JsonPayloadError),
}

/// The last exported and imported caches.
#[derive(Debug, Default)]
pub(super) struct KvStore {
    exported: VecDeque<KvCache>,
    imported: VecDeque<KvCache>,
    /// Number of exports so far.
    exports: u64,
}

impl KvStore {
    /// Returns a handle that no other export has. `started` distinguishes the starts of the engine.
    pub(super) fn next_handle(&mut self, started: u64) -> String {
        self.exports += 1;
        format!("{started:x}-{}", self.exports)
    }

    pub(super) fn export(&mut self, cache: KvCache) {
        push_bounded(&mut self.exported, cache);
    }

    pub(super) fn exported(&self, handle: &str) -> Option<&KvCache> {
        self.exported.iter().find(|it| it.handle == handle)
    }

    pub(super) fn import(&mut self, cache: KvCache) {
        push_bounded(&mut self.imported, cache);
    }

    /// Whether the cache of this prompt was imported under this handle.
    pub(super) fn has_imported(&self, handle: &str, prompt: &str) -> bool {
        self.imported.iter().any(|it| it.handle == handle && it.prompt == prompt)
    }
}

fn push_bounded(caches: &mut VecDeque<KvCache>, cache: KvCache) {
    caches.push_back(cache);
    if caches.len() > MAX_RETAINED {
        caches.pop_front();
    }
}

/// Fetches an exported cache from the engine at `from`, which is `host:port`.
pub(super) async fn fetch(from: &str, handle: &str) -> Result<KvCache, ImportError> {
    let url = format!("http://{from}/_standin/kv/{handle}");
    let mut response = awc::Client::new().get(url).send().await?;
    if !response.status().is_success() {
        return Err(ImportError::NotFound);
    }
    Ok(response.json().await?)
}
