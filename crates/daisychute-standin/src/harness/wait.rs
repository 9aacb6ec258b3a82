//! Waiting on conditions.

use std::time::{Duration, Instant};

use super::HarnessError;

/// The time between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until `condition` holds; `what` names it in the error.
///
/// # Errors
///
/// It does not hold within `limit`.
pub async fn wait_until(
    what: &str,
    limit: Duration,
    mut condition: impl FnMut() -> bool,
) -> Result<(), HarnessError> {
    wait_for(what, limit, async || condition().then_some(())).await
}

/// Waits until `look` finds something; `what` names it in the error. A look that takes longer than what is left of
/// `limit` is given up.
///
/// # Errors
///
/// It finds nothing within `limit`.
pub async fn wait_for<T>(
    what: &str,
    limit: Duration,
    mut look: impl AsyncFnMut() -> Option<T>,
) -> Result<T, HarnessError> {
    let start = Instant::now();
    loop {
        let left = limit.saturating_sub(start.elapsed());
        if let Ok(Some(found)) = actix_rt::time::timeout(left, look()).await {
            return Ok(found);
        }
        if start.elapsed() >= limit {
            return Err(HarnessError::Timeout { what: what.to_owned(), limit });
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}
