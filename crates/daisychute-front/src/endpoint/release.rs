//! Frees KV caches that nobody will fetch.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use crate::Dialect;
use crate::endpoint::own_call::own_call;
use crate::shared::Shared;

/// A KV cache that can't be freed within this time ends by its own time limit soon.
const LIMIT: Duration = Duration::from_secs(1);
/// The answer says nothing but yes; more bytes than this aren't read.
const MOST_ANSWER: usize = 4 * 1024;

/// Frees a KV cache in a task of its own.
pub(crate) fn spawn<D: Dialect>(shared: &Rc<Shared<D>>, address: SocketAddr, handle: &Arc<str>) {
    let (shared, handle) = (Rc::clone(shared), Arc::clone(handle));
    actix_rt::spawn(async move {
        let call = own_call(&shared, address, shared.dialect.release_request(&handle), MOST_ANSWER);
        let outcome = match timeout(LIMIT, call).await {
            Ok(Ok(_)) => "freed".to_owned(),
            Ok(Err(e)) => e.to_string(),
            Err(_) => "timed out".to_owned(),
        };
        log::info!(address:%, handle:%, outcome; "unused KV cache released");
    });
}
