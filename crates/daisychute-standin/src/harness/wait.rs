//! Polling for conditions.

use std::time::{Duration, Instant};

use super::HarnessError;

/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Polls until `condition` holds. `what` describes it in the error.
///
/// # Errors
///
/// The condition doesn't hold within `limit`.
pub async fn wait_until(
    what: &str,
    limit: Duration,
    mut condition: impl FnMut() -> bool,
) -> Result<(), HarnessError> {
    wait_for(what, limit, async || condition().then_some(())).await
}

/// Polls until `probe` returns a value. `what` describes it in the error. A probe that doesn't complete within the rest
/// of `limit` is dropped.
///
/// # Errors
///
/// No probe returns a value within `limit`.
pub async fn wait_for<T>(
    what: &str,
    limit: Duration,
    mut probe: impl AsyncFnMut() -> Option<T>,
) -> Result<T, HarnessError> {
    let start = Instant::now();
    loop {
        let remaining = limit.saturating_sub(start.elapsed());
        if let Ok(Some(found)) = actix_rt::time::timeout(remaining, probe()).await {
            return Ok(found);
        }
        if start.elapsed() >= limit {
            return Err(HarnessError::Timeout { what: what.to_owned(), limit });
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}
