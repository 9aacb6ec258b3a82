//! Reads the list of endpoints from the platform store for an entry.

use std::time::Duration;

use daisychute_core::EndpointRecord;
use daisychute_entry::core::Event;
use daisychute_entry::shell::EntryHandle;
use daisychute_store::{CallError, ObjectClient, ObjectKind};

/// Interval between two reads of the list.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Passes the list to the entry until the task is dropped. Only the first failed read in a row is logged.
pub(crate) async fn run(client: ObjectClient, entry: EntryHandle) {
    let mut last_read_succeeded = true;
    loop {
        match read_endpoints(&client).await {
            Ok(records) => {
                entry.event(Event::Endpoints(records));
                last_read_succeeded = true;
            }
            Err(error) if last_read_succeeded => {
                log::warn!("the list of instances can't be read: {error}");
                last_read_succeeded = false;
            }
            Err(_) => {}
        }
        actix_rt::time::sleep(READ_INTERVAL).await;
    }
}

async fn read_endpoints(client: &ObjectClient) -> Result<Vec<EndpointRecord>, CallError> {
    let list = client.list(ObjectKind::Instances, "").await?;
    Ok(list.items.into_iter().filter_map(|it| serde_json::from_value(it.spec).ok()).collect())
}
