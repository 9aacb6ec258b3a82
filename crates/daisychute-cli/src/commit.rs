//! A conditional write. If its result is unknown, the object is read back to find out whether it took effect.

use std::time::Duration;

use actix_rt::time::sleep;
use daisychute_store::{CallError, Object, ObjectClient, PendingWrite, WriteId, WriteResolution};

use crate::error::CliError;

/// Attempts of one write before the command fails.
const MAX_ATTEMPTS: u32 = 4;
/// Wait after the first attempt; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// Known outcome of a write.
#[derive(Debug, Clone)]
pub(crate) enum CommitOutcome {
    /// The write took effect.
    Applied,
    /// The object holds another write, and this one can't take effect any more. `None` if the object was deleted, or if
    /// the last attempt was refused as a conflict although no other write could be read.
    Superseded(Option<Box<Object>>),
}

/// Writes an object if its resource version is unchanged, retries a failed write, and resolves ambiguous results.
///
/// All attempts carry the same write id and resource version, so that at most one takes effect.
pub(crate) async fn commit(
    client: &ObjectClient,
    object: Object,
    write_id: &WriteId,
) -> Result<CommitOutcome, CliError> {
    let base = object.metadata.resource_version.clone();
    let pending = PendingWrite { write_id: write_id.clone(), base };
    let object = object.set_write_id(write_id);
    let mut may_have_taken_effect = false;
    let mut backoff = INITIAL_BACKOFF;
    let mut last_error = None;
    for _ in 0..MAX_ATTEMPTS {
        let Err(error) = client.write(&object).await else { return Ok(CommitOutcome::Applied) };
        may_have_taken_effect |= error.may_have_taken_effect();
        if is_permanent(&error) {
            return Err(CliError::Platform(error));
        }
        match resolve(client, &object, &pending).await {
            Ok((WriteResolution::Applied, _)) => return Ok(CommitOutcome::Applied),
            Ok((WriteResolution::Superseded, found)) => {
                return Ok(CommitOutcome::Superseded(found));
            }
            Ok((WriteResolution::Unchanged, _)) => last_error = Some(error),
            Err(error) => last_error = Some(error),
        }
        sleep(backoff).await;
        backoff *= 2;
    }
    let source = last_error.unwrap_or(CallError::Malformed);
    if source.is_conflict() {
        return Ok(CommitOutcome::Superseded(None));
    }
    Err(if may_have_taken_effect {
        CliError::AmbiguousWrite { source }
    } else {
        CliError::Platform(source)
    })
}

/// Whether the write took no effect and a retry would fail the same way.
fn is_permanent(error: &CallError) -> bool {
    matches!(error, CallError::TooLarge | CallError::Refused { .. })
}

/// Reads the object back to find out whether the write took effect. Returns what was read, too.
async fn resolve(
    client: &ObjectClient,
    object: &Object,
    pending: &PendingWrite,
) -> Result<(WriteResolution, Option<Box<Object>>), CallError> {
    let found = match client.read(object.kind, &object.metadata.name).await {
        Ok(found) => Some(found),
        Err(CallError::NotFound) => None,
        Err(error) => return Err(error),
    };
    let resolution = pending.resolve(found.as_ref());
    Ok((resolution, found.map(Box::new)))
}
