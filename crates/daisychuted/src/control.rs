//! The control shell of the process and what comes out of it.

use std::time::Duration;

use daisychute_core::{Incarnation, ProcessStatus, Revisions};
use daisychute_planner::{Control, ControlOutput, ControlSettings};
use daisychute_settings::Settings;
use daisychute_store::{ClientSettings, LeaseSettings, ObjectClient};
use tokio::sync::mpsc::UnboundedReceiver;

use crate::admin::Subject;

/// What the outputs of the control shell do in one role.
pub(crate) trait Role: Subject {
    /// The documents in force are others now.
    fn revisions(&self, revisions: Revisions);
    /// Does what is particular to the role.
    fn output(&self, output: ControlOutput);
}

/// Starts the control shell with the settings of the process.
pub(crate) fn start(
    settings: &Settings,
    incarnation: Incarnation,
    client: ObjectClient,
) -> (Control, UnboundedReceiver<ControlOutput>) {
    let process = &settings.process;
    let control = ControlSettings::entry(
        settings.platform.deployment.clone(),
        process.region.clone(),
        process.data_centre.clone(),
        process.name.clone(),
        incarnation,
    );
    let control = control.lease(lease(settings.timing.lease));
    match settings.role {
        daisychute_settings::RoleSettings::Entry(_) => Control::start(control, client),
        daisychute_settings::RoleSettings::Agent(_) => Control::start(control.agent(), client),
    }
}

/// The spans of a lease that lasts this long, in the proportions of the default.
fn lease(duration: Duration) -> LeaseSettings {
    let default = LeaseSettings::default();
    let scaled = |span: Duration| span.mul_f64(duration.div_duration_f64(default.duration));
    LeaseSettings {
        duration,
        margin: scaled(default.margin),
        renew_interval: scaled(default.renew_interval),
        poll_interval: scaled(default.poll_interval),
        ..default
    }
}

/// The client of the platform.
pub(crate) fn client(settings: &Settings) -> ObjectClient {
    ObjectClient::new(ClientSettings::new(settings.platform.url.as_str()))
}

/// Does what comes out of the control shell until it stops.
pub(crate) async fn run(
    control: Control,
    mut outputs: UnboundedReceiver<ControlOutput>,
    role: impl Role,
) {
    while let Some(output) = outputs.recv().await {
        match output {
            ControlOutput::Rejected { kind, error } => {
                log::error!(document:? = kind; "a document was refused as a whole: {error}");
            }
            ControlOutput::Planner(Some(term)) => log::info!(term:%; "holds the planner lease"),
            ControlOutput::Planner(None) => log::info!("holds the planner lease no more"),
            ControlOutput::StatusDue => publish(&control, &role).await,
            output => {
                role.revisions(control.revisions());
                role.output(output);
            }
        }
    }
}

async fn publish(control: &Control, role: &impl Role) {
    if let Some(status) = role.status().await {
        control.publish_status(ProcessStatus { revisions: control.revisions(), ..status });
    }
}
