//! Learning the endpoints from the platform's list.

use std::time::Duration;

use daisychute_core::EndpointRecord;
use daisychute_entry::core::Event;
use daisychute_entry::shell::EntryHandle;
use daisychute_store::{CallError, ObjectClient, ObjectKind};

/// How often the list is read.
const INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the entry informed until the task is dropped.
pub(crate) async fn run(client: ObjectClient, entry: EntryHandle) {
    let mut was_up = true;
    loop {
        match endpoints(&client).await {
            Ok(records) => {
                entry.event(Event::Endpoints(records));
                was_up = true;
            }
            Err(error) if was_up => {
                log::warn!("the list of instances can't be read: {error}");
                was_up = false;
            }
            Err(_) => {}
        }
        actix_rt::time::sleep(INTERVAL).await;
    }
}

async fn endpoints(client: &ObjectClient) -> Result<Vec<EndpointRecord>, CallError> {
    let list = client.list(ObjectKind::Instances, "").await?;
    Ok(list.items.into_iter().filter_map(|it| serde_json::from_value(it.spec).ok()).collect())
}
