//! One conditional write, with lost answers settled by reading back.

use std::time::Duration;

use actix_rt::time::sleep;
use daisychute_store::{CallError, Object, ObjectClient, PendingWrite, WriteId, WriteResolution};

use crate::error::CliError;

/// How often one write is sent before it is given up.
const ATTEMPTS: u32 = 4;
/// The wait before the first repeat; it doubles with each.
const FIRST_WAIT: Duration = Duration::from_millis(250);

/// How a write ended.
#[derive(Debug, Clone)]
pub(crate) enum Committed {
    /// It took effect.
    Mine,
    /// Another write is in the object, or no object is there any more. This write has no more effect.
    SomeoneElse(Option<Box<Object>>),
}

/// Writes an object under its version, and finds out what became of it.
///
/// A repeat carries the same write id and the same version, so that at most one of them takes effect.
pub(crate) async fn commit(
    client: &ObjectClient,
    object: Object,
    write_id: &WriteId,
) -> Result<Committed, CliError> {
    let base = object.metadata.resource_version.clone();
    let pending = PendingWrite { write_id: write_id.clone(), base };
    let object = object.set_write_id(write_id);
    let mut may_be_in_effect = false;
    let mut wait = FIRST_WAIT;
    let mut last = None;
    for _ in 0..ATTEMPTS {
        let Err(error) = client.write(&object).await else { return Ok(Committed::Mine) };
        may_be_in_effect |= error.may_have_taken_effect();
        if is_final(&error) {
            return Err(CliError::Platform(error));
        }
        match settle(client, &object, &pending).await {
            Ok((WriteResolution::Applied, _)) => return Ok(Committed::Mine),
            Ok((WriteResolution::Superseded, found)) => return Ok(Committed::SomeoneElse(found)),
            Ok((WriteResolution::Unchanged, _)) => last = Some(error),
            Err(error) => last = Some(error),
        }
        sleep(wait).await;
        wait *= 2;
    }
    let source = last.unwrap_or(CallError::Malformed);
    if source.is_conflict() {
        return Ok(Committed::SomeoneElse(None));
    }
    Err(if may_be_in_effect { CliError::Unsettled { source } } else { CliError::Platform(source) })
}

/// Whether a repeat can't end otherwise, and the write took no effect.
fn is_final(error: &CallError) -> bool {
    matches!(error, CallError::TooLarge | CallError::Refused { .. })
}

async fn settle(
    client: &ObjectClient,
    object: &Object,
    pending: &PendingWrite,
) -> Result<(WriteResolution, Option<Box<Object>>), CallError> {
    let found = match client.read(object.kind, &object.metadata.name).await {
        Ok(found) => Some(found),
        Err(CallError::NotFound) => None,
        Err(error) => return Err(error),
    };
    let settled = pending.resolve(found.as_ref());
    Ok((settled, found.map(Box::new)))
}
