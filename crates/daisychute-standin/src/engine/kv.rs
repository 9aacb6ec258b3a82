//! Exported and imported KV caches.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The most exports and the most imports that are kept.
const MAX_KEPT: usize = 256;

/// What one engine tells another of an exported cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct KvCache {
    pub(super) handle: String,
    /// The prompt that the cache was computed from.
    pub(super) prompt: String,
    pub(super) tokens: u32,
    pub(super) bytes: u64,
}

/// Why a cache could not be imported.
#[derive(Debug, Error)]
pub(super) enum ImportError {
    #[error("the other engine can't be reached")]
    Send(#[from] awc::error::SendRequestError),
    #[error("the other engine no longer has it")]
    Gone,
    #[error("the other engine answered something else")]
    Malformed(#[from] awc::error::JsonPayloadError),
}

/// The caches at hand.
#[derive(Debug, Default)]
pub(super) struct KvStore {
    exported: VecDeque<KvCache>,
    imported: VecDeque<KvCache>,
    exports: u64,
}

impl KvStore {
    /// A handle that no other export of this start has.
    pub(super) fn next_handle(&mut self, started: u64) -> String {
        self.exports += 1;
        format!("{started:x}-{}", self.exports)
    }

    pub(super) fn export(&mut self, cache: KvCache) {
        keep(&mut self.exported, cache);
    }

    pub(super) fn exported(&self, handle: &str) -> Option<&KvCache> {
        self.exported.iter().find(|it| it.handle == handle)
    }

    pub(super) fn import(&mut self, cache: KvCache) {
        keep(&mut self.imported, cache);
    }

    /// Whether the cache of this prompt was imported under this handle.
    pub(super) fn has_imported(&self, handle: &str, prompt: &str) -> bool {
        self.imported.iter().any(|it| it.handle == handle && it.prompt == prompt)
    }
}

fn keep(caches: &mut VecDeque<KvCache>, cache: KvCache) {
    caches.push_back(cache);
    if caches.len() > MAX_KEPT {
        caches.pop_front();
    }
}

/// Fetches an exported cache from the engine at `from`, which is `host:port`.
pub(super) async fn fetch(from: &str, handle: &str) -> Result<KvCache, ImportError> {
    let url = format!("http://{from}/_standin/kv/{handle}");
    let mut answer = awc::Client::new().get(url).send().await?;
    if !answer.status().is_success() {
        return Err(ImportError::Gone);
    }
    Ok(answer.json().await?)
}
