//! Calls of the I/O shell to the platform's object store, and its timer.

use bytes::Bytes;
use daisychute_core::{Drains, Era, Plan, ProcessRole, ProcessState, ProcessStatus};
use daisychute_store::{
    CallError, LeaseEvent, Object, ObjectClient, ObjectKind, ReadOutcome, ReplicaEvent,
    ResourceVersion, WatchEvent, WatchKind, WatcherCandidate, WriteOutcome,
};

use super::{Control, ControlOutput, WeakControl};
use crate::PlannerEvent;

/// Ticks the shell whenever a state machine has requested it, until the shell is dropped.
pub(super) async fn run_timer(control: WeakControl) {
    loop {
        let Some(strong) = control.upgrade() else { return };
        let (at, wake_changed) = {
            let state = strong.state.borrow();
            (state.wake.map(|it| state.clock.instant(it)), state.wake_changed.clone())
        };
        drop(strong);
        let Some(at) = at else {
            wake_changed.notified().await;
            continue;
        };
        tokio::select! {
            () = tokio::time::sleep_until(at.into()) => {}
            () = wake_changed.notified() => continue,
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
        let result = self.client().read(kind, name.as_str()).await;
        if let Err(error) = &result {
            log::debug!("failed to read {kind}/{name}: {error}");
        }
        result.into()
    }

    async fn write(&self, object: &Object) -> WriteOutcome {
        let result = self.client().write(object).await;
        if let Err(error) = &result {
            log::debug!("failed to write {}/{}: {error}", object.kind, object.metadata.name);
        }
        result.into()
    }
}

pub(super) async fn read_lease(control: Control) {
    let outcome = control.read(ObjectKind::Leases).await;
    // This platform names no era.
    control.lease(LeaseEvent::Read { era: Era::ZERO, outcome });
}

pub(super) async fn write_lease(control: Control, object: Object) {
    let outcome = control.write(&object).await;
    control.lease(LeaseEvent::Written { era: Era::ZERO, outcome });
}

pub(super) async fn read_plan(control: Control) {
    let outcome = control.read(ObjectKind::Plans).await;
    control.planner(PlannerEvent::Read(outcome));
}

pub(super) async fn write_plan(control: Control, object: Object) {
    let outcome = control.write(&object).await;
    control.planner(PlannerEvent::Written(outcome));
}

/// Reads the plan for the agent's reconfiguration orders and passes it to the replica, as if a watch had reported it.
pub(super) async fn confirm_plan(control: Control) {
    let mut confirmed = None;
    if let ReadOutcome::Found(object) = control.read(ObjectKind::Plans).await {
        confirmed = object.parse::<Plan>().ok().map(|it| it.revision);
        let body = Bytes::from(object.spec.to_string());
        control.replica(ObjectKind::Plans, ReplicaEvent::Changed { body });
    }
    control.state.borrow().emit(ControlOutput::PlanConfirmed(confirmed));
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
            log::debug!("failed to list {kind}: {error}");
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
    log::debug!("watch of {kind} ended: {error}");
    if let Some(strong) = control.upgrade() {
        strong.state.borrow_mut().watches.remove(&kind);
        strong.replica(kind, ReplicaEvent::WatchEnded);
    }
}

/// Translates a watch event for the replica of object `name`. Returns `None` if the event is a deletion or about
/// another object.
fn replica_event(event: WatchEvent, name: &str) -> Option<ReplicaEvent> {
    let Some(object) = event.object else { return Some(ReplicaEvent::WatchAlive) };
    let wanted = event.kind != WatchKind::Deleted && *object.metadata.name == *name;
    wanted.then(|| ReplicaEvent::Changed { body: Bytes::from(object.spec.to_string()) })
}

/// Reads the endpoints that operators want drained.
pub(super) async fn read_drains(control: Control) {
    let drains = match control.read(ObjectKind::Drains).await {
        ReadOutcome::Found(object) => object
            .parse::<Drains>()
            .inspect_err(|it| {
                log::error!("the drains can't be parsed, those known stay in force: {it}")
            })
            .ok(),
        ReadOutcome::Missing => Some(Drains::default()),
        ReadOutcome::Failed => None,
    };
    if let Some(drains) = drains {
        let wanted = drains.endpoints.into_iter().filter(|it| it.1).map(|it| it.0).collect();
        control.planner(PlannerEvent::DrainRequests(wanted));
    }
}

/// Lists the status objects of the entries of this data centre and updates the watcher election.
pub(super) async fn list_statuses(control: Control) {
    let prefix = {
        let state = control.state.borrow();
        status_prefix(ProcessRole::Entry, state.settings.data_centre.as_str())
    };
    match control.client().list(ObjectKind::Statuses, &prefix).await {
        Ok(list) => {
            let mut state = control.state.borrow_mut();
            let now = state.clock.now();
            state.watcher_election.update(now, list.items.iter().filter_map(watcher_candidate));
        }
        Err(error) => log::debug!("failed to list statuses: {error}"),
    }
    control.tick();
}

fn watcher_candidate(object: &Object) -> Option<WatcherCandidate> {
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
        Err(error) if error.is_conflict() => replace_status(&control, object).await,
        other => other,
    };
    let version = written.inspect_err(|it| log::debug!("failed to write the status: {it}"));
    control.state.borrow_mut().status_version =
        version.ok().and_then(|it| it.metadata.resource_version);
}

/// Overwrites the status object that an earlier incarnation of this process left.
async fn replace_status(control: &Control, object: Object) -> Result<Object, CallError> {
    let client = control.client();
    let current = client.read(ObjectKind::Statuses, &object.metadata.name).await?;
    client.write(&object.version(current.metadata.resource_version)).await
}

/// Name prefix of the status objects of one role in one data centre.
fn status_prefix(role: ProcessRole, data_centre: &str) -> String {
    match role {
        ProcessRole::Entry => format!("entry.{data_centre}."),
        ProcessRole::Agent => format!("agent.{data_centre}."),
    }
}
