//! Starts the control shell of the process and handles its outputs.

use std::time::Duration;

use daisychute_core::{Incarnation, ProcessStatus, Revisions};
use daisychute_planner::{Control, ControlOutput, ControlSettings};
use daisychute_settings::Settings;
use daisychute_store::{ClientSettings, LeaseSettings, ObjectClient};
use tokio::sync::mpsc::UnboundedReceiver;

use crate::admin::StatusSource;

/// Handles the outputs of the control shell for one role, entry or agent.
pub(crate) trait ControlHandler: StatusSource {
    /// Takes over the revisions of the documents that are in force now.
    fn set_revisions(&self, revisions: Revisions);
    /// Handles an output that only this role acts on. Others are ignored.
    fn handle_output(&self, output: ControlOutput);
}

/// Starts the control shell with the settings of the process.
pub(crate) fn start(
    settings: &Settings,
    incarnation: Incarnation,
    client: ObjectClient,
) -> (Control, UnboundedReceiver<ControlOutput>) {
    let process = &settings.process;
    let control_settings = ControlSettings::entry(
        settings.platform.deployment.clone(),
        process.region.clone(),
        process.data_centre.clone(),
        process.name.clone(),
        incarnation,
    );
    let control_settings = control_settings.lease(lease_settings(settings.timing.lease));
    match settings.role {
        daisychute_settings::RoleSettings::Entry(_) => Control::start(control_settings, client),
        daisychute_settings::RoleSettings::Agent(_) => {
            Control::start(control_settings.agent(), client)
        }
    }
}

/// Lease settings for this lease duration. The other intervals are scaled in proportion to the defaults.
fn lease_settings(duration: Duration) -> LeaseSettings {
    let default = LeaseSettings::default();
    let scaled = |interval: Duration| interval.mul_f64(duration.div_duration_f64(default.duration));
    LeaseSettings {
        duration,
        margin: scaled(default.margin),
        renew_interval: scaled(default.renew_interval),
        poll_interval: scaled(default.poll_interval),
        ..default
    }
}

/// A client for the platform store.
pub(crate) fn client(settings: &Settings) -> ObjectClient {
    ObjectClient::new(ClientSettings::new(settings.platform.url.as_str()))
}

/// Handles the outputs of the control shell until it stops.
pub(crate) async fn run(
    control: Control,
    mut outputs: UnboundedReceiver<ControlOutput>,
    handler: impl ControlHandler,
) {
    while let Some(output) = outputs.recv().await {
        match output {
            ControlOutput::Rejected { kind, error } => {
                log::error!(document:? = kind; "a document was refused as a whole: {error}");
            }
            ControlOutput::Planner(Some(term)) => log::info!(term:%; "holds the planner lease"),
            ControlOutput::Planner(None) => log::info!("lost the planner lease"),
            ControlOutput::StatusDue => publish_status(&control, &handler).await,
            output => {
                handler.set_revisions(control.revisions());
                handler.handle_output(output);
            }
        }
    }
}

async fn publish_status(control: &Control, handler: &impl ControlHandler) {
    if let Some(status) = handler.status().await {
        control.publish_status(ProcessStatus { revisions: control.revisions(), ..status });
    }
}
