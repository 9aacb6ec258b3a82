//! The calls of the control shell and its timer.

use bytes::Bytes;
use daisychute_core::{Drains, Plan, ProcessRole, ProcessState, ProcessStatus};
use daisychute_store::{
    CallError, LeaseEvent, Object, ObjectClient, ObjectKind, ReadOutcome, ReplicaEvent,
    ResourceVersion, WatchEvent, WatchKind, WatcherCandidate, WriteOutcome,
};

use super::{Control, ControlOutput, WeakControl};
use crate::PlannerEvent;

/// Ticks whenever a core has asked to be woken, until the shell is dropped.
pub(super) async fn run_timer(control: WeakControl) {
    loop {
        let Some(strong) = control.upgrade() else { return };
        let (at, woken) = {
            let state = strong.state.borrow();
            (state.wake.map(|it| state.clock.instant(it)), state.woken.clone())
        };
        drop(strong);
        let Some(at) = at else {
            woken.notified().await;
            continue;
        };
        tokio::select! {
            () = tokio::time::sleep_until(at.into()) => {}
            () = woken.notified() => continue,
        }
        let Some(strong) = control.upgrade() else { return };
        strong.state.borrow_mut().wake = None;
        strong.tick();
    }
}

impl Control {
    fn client(&self) -> ObjectClient {
        self.state.borrow().client.clone()
    }

    fn document_name(&self, kind: ObjectKind) -> String {
        self.state.borrow().document_name(kind).to_owned()
    }

    async fn read(&self, kind: ObjectKind) -> ReadOutcome {
        let name = self.state.borrow().settings.region.clone();
        let answer = self.client().read(kind, name.as_str()).await;
        if let Err(error) = &answer {
            log::debug!("{kind}/{name} can't be read: {error}");
        }
        answer.into()
    }

    async fn write(&self, object: &Object) -> WriteOutcome {
        let answer = self.client().write(object).await;
        if let Err(error) = &answer {
            log::debug!("{}/{} can't be written: {error}", object.kind, object.metadata.name);
        }
        answer.into()
    }
}

pub(super) async fn read_lease(control: Control) {
    let answer = control.read(ObjectKind::Leases).await;
    control.lease(LeaseEvent::Read(answer));
}

pub(super) async fn write_lease(control: Control, object: Object) {
    let answer = control.write(&object).await;
    control.lease(LeaseEvent::Written(answer));
}

pub(super) async fn read_plan(control: Control) {
    let answer = control.read(ObjectKind::Plans).await;
    control.planner(PlannerEvent::Read(answer));
}

pub(super) async fn write_plan(control: Control, object: Object) {
    let answer = control.write(&object).await;
    control.planner(PlannerEvent::Written(answer));
}

/// Reads the plan for an order core: what was read is a document like any other.
pub(super) async fn confirm_plan(control: Control) {
    let mut confirmed = None;
    if let ReadOutcome::Found(object) = control.read(ObjectKind::Plans).await {
        confirmed = object.parse::<Plan>().ok().map(|it| it.revision);
        let body = Bytes::from(object.spec.to_string());
        control.replica(ObjectKind::Plans, ReplicaEvent::Changed { body });
    }
    control.state.borrow().tell(ControlOutput::PlanConfirmed(confirmed));
}

pub(super) async fn list_document(control: Control, kind: ObjectKind) {
    let name = control.document_name(kind);
    let event = match control.client().list(kind, &name).await {
        Ok(list) => {
            let object = list.items.into_iter().find(|it| *it.metadata.name == *name);
            let body = object.map(|it| Bytes::from(it.spec.to_string()));
            ReplicaEvent::Listed { version: list.version, body }
        }
        Err(error) => {
            log::debug!("{kind} can't be listed: {error}");
            ReplicaEvent::ListFailed
        }
    };
    control.replica(kind, event);
}

pub(super) async fn watch_document(
    control: WeakControl,
    client: ObjectClient,
    kind: ObjectKind,
    name: String,
    from: ResourceVersion,
) {
    let error = match client.watch(kind, &from).await {
        Err(error) => error,
        Ok(mut watch) => loop {
            let event = match watch.next_event().await {
                Ok(event) => event,
                Err(error) => break error,
            };
            let Some(strong) = control.upgrade() else { return };
            if let Some(event) = replica_event(event, &name) {
                strong.replica(kind, event);
            }
        },
    };
    log::debug!("the watch of {kind} ended: {error}");
    if let Some(strong) = control.upgrade() {
        strong.state.borrow_mut().watches.remove(&kind);
        strong.replica(kind, ReplicaEvent::WatchEnded);
    }
}

/// What an event of a watch means for the replica of the object of this name.
fn replica_event(event: WatchEvent, name: &str) -> Option<ReplicaEvent> {
    let Some(object) = event.object else { return Some(ReplicaEvent::WatchAlive) };
    let wanted = event.kind != WatchKind::Deleted && *object.metadata.name == *name;
    wanted.then(|| ReplicaEvent::Changed { body: Bytes::from(object.spec.to_string()) })
}

/// Reads what operators want drained.
pub(super) async fn read_drains(control: Control) {
    let drains = match control.read(ObjectKind::Drains).await {
        ReadOutcome::Found(object) => object.parse::<Drains>().ok(),
        ReadOutcome::Missing => Some(Drains::default()),
        ReadOutcome::Failed => None,
    };
    if let Some(drains) = drains {
        let wanted = drains.endpoints.into_iter().filter(|it| it.1).map(|it| it.0).collect();
        control.planner(PlannerEvent::DrainRequests(wanted));
    }
}

/// Lists the entries of this data centre.
pub(super) async fn list_statuses(control: Control) {
    let prefix = {
        let state = control.state.borrow();
        status_prefix(ProcessRole::Entry, state.settings.data_centre.as_str())
    };
    match control.client().list(ObjectKind::Statuses, &prefix).await {
        Ok(list) => {
            let mut state = control.state.borrow_mut();
            let now = state.clock.now();
            state.candidates.update(now, list.items.iter().filter_map(listed));
        }
        Err(error) => log::debug!("statuses can't be listed: {error}"),
    }
    control.tick();
}

fn listed(object: &Object) -> Option<WatcherCandidate> {
    let status: ProcessStatus = object.parse().ok()?;
    Some(WatcherCandidate {
        process: status.process,
        version: object.metadata.resource_version.clone()?,
        leaving: status.state == ProcessState::Leaving,
    })
}

pub(super) async fn publish_status(control: Control, status: ProcessStatus) {
    let Ok(spec) = serde_json::to_value(&status) else { return };
    let prefix = status_prefix(status.role, status.data_centre.as_str());
    let name = format!("{prefix}{}", status.process);
    let version = control.state.borrow().status_version.clone();
    let object = Object::new(ObjectKind::Statuses, name.as_str(), spec).version(version);
    let written = match control.client().write(&object).await {
        Err(error) if error.is_conflict() => replace(&control, object).await,
        other => other,
    };
    let version = written.inspect_err(|it| log::debug!("the status can't be written: {it}"));
    control.state.borrow_mut().status_version =
        version.ok().and_then(|it| it.metadata.resource_version);
}

/// Replaces the status that an earlier start of this process left.
async fn replace(control: &Control, object: Object) -> Result<Object, CallError> {
    let client = control.client();
    let present = client.read(ObjectKind::Statuses, &object.metadata.name).await?;
    client.write(&object.version(present.metadata.resource_version)).await
}

/// How the names of the status objects of one role in one data centre begin.
fn status_prefix(role: ProcessRole, data_centre: &str) -> String {
    match role {
        ProcessRole::Entry => format!("entry.{data_centre}."),
        ProcessRole::Agent => format!("agent.{data_centre}."),
    }
}
