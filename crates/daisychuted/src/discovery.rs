//! Learning the endpoints and the configuration from the platform.

use std::rc::Rc;
use std::time::Duration;

use daisychute_core::{Configuration, EndpointRecord, Revision, Revisions};
use daisychute_entry::core::Event;
use daisychute_entry::shell::EntryHandle;
use daisychute_platform::{CallError, ObjectClient, ObjectKind, Shared};

/// How often the platform is asked.
const INTERVAL: Duration = Duration::from_millis(500);

/// Keeps the entry informed until the task is dropped.
pub(crate) async fn run(client: ObjectClient, entry: EntryHandle) {
    let mut revision = Revision::ZERO;
    loop {
        match endpoints(&client).await {
            Ok(records) => entry.event(Event::Endpoints(records)),
            Err(error) => log::warn!("the list of instances can't be read: {error}"),
        }
        match configuration(&client).await {
            Ok(Some((newer, cfg))) if newer > revision => {
                revision = newer;
                entry.configure(Rc::new(cfg));
                entry.event(Event::Revisions(Revisions {
                    configuration: newer,
                    ..Revisions::default()
                }));
            }
            Ok(_) => {}
            Err(error) => log::warn!("the configuration can't be read: {error}"),
        }
        actix_rt::time::sleep(INTERVAL).await;
    }
}

async fn endpoints(client: &ObjectClient) -> Result<Vec<EndpointRecord>, CallError> {
    let list = client.list(ObjectKind::Instances, "").await?;
    Ok(list.items.into_iter().filter_map(|it| serde_json::from_value(it.spec).ok()).collect())
}

async fn configuration(
    client: &ObjectClient,
) -> Result<Option<(Revision, Configuration)>, CallError> {
    let list = client.list(ObjectKind::Configurations, "").await?;
    let Some(object) = list.items.into_iter().next() else { return Ok(None) };
    match Configuration::read(object.spec.to_string().as_bytes()) {
        Ok(found) => Ok(Some(found)),
        Err(error) => {
            log::error!("the configuration on the platform is refused: {error}");
            Ok(None)
        }
    }
}
