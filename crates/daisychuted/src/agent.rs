//! The agent role of the daemon.

use std::net::TcpListener;

use daisychute_agent::PolicyAdmission;
use daisychute_agent::core::{AgentConfig, AgentCore, Event};
use daisychute_agent::shell::{AgentHandle, AgentOptions, AgentShell};
use daisychute_core::{EndpointRecord, EndpointState, Incarnation};
use daisychute_link::LinkConfig;
use daisychute_planner::ControlOutput;
use daisychute_proto::Revisions;
use daisychute_runtime::{Clock, stop_requested};
use daisychute_settings::{AgentSettings, Settings};
use tokio::time::timeout;

use crate::admin::Admin;
use crate::control::ControlHandler;
use crate::entry::{bind, http_limits};
use crate::shared_documents::SharedDocuments;
use crate::{DaemonError, control, metrics};

/// How long the entries may take to receive the last frames, after the end of the drain.
const LAST_RESPONSES_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(1_500);

pub(crate) async fn run(
    settings: Settings,
    role: AgentSettings,
    incarnation: Incarnation,
) -> Result<(), DaemonError> {
    let metrics = metrics::install()?;
    let inner = settings.listen.inner;
    let listener = TcpListener::bind(inner).map_err(|source| DaemonError::Listen {
        listener: "inner",
        addr: inner,
        source,
    })?;
    let limits = http_limits(&settings.limits);
    let admin = bind("admin", settings.listen.admin, limits)?;
    let core = AgentCore::new(
        agent_config(&settings),
        PolicyAdmission::new(&role.endpoint.kind),
        endpoint_record(&settings, &role, incarnation),
    );
    let (control, outputs) = control::start(&settings, incarnation, control::client(&settings));
    let documents = SharedDocuments::new(control.clone());
    let options = agent_options(&settings, &role);
    let shell = AgentShell::new(options, core, Clock::start(), listener, documents)
        .map_err(|source| DaemonError::Serve { listener: "inner", source })?;
    let handle = shell.handle();

    actix_rt::spawn(control::run(control, outputs, handle.clone()));
    let admin_handler = Admin::new(handle.clone(), metrics, limits);
    actix_rt::spawn(admin.serve(move |req| admin_handler.clone().handle(req)));
    log::info!(
        "agent {} for endpoint {} listens on {inner}",
        settings.process.name,
        role.endpoint.name
    );

    let task = actix_rt::spawn(shell.run());
    stop_requested().await.map_err(DaemonError::Signals)?;
    log::info!("agent {} is shutting down", settings.process.name);
    let drain = settings.timing.drain;
    handle.shut_down(drain);
    if timeout(drain + LAST_RESPONSES_TIMEOUT, task).await.is_err() {
        log::warn!("responses are still unread after {:?}", settings.timing.drain);
    }
    log::info!("agent {} has stopped", settings.process.name);
    Ok(())
}

impl ControlHandler for AgentHandle {
    fn set_revisions(&self, revisions: Revisions) {
        self.event(Event::Revisions(revisions));
    }

    fn handle_output(&self, output: ControlOutput) {
        match output {
            ControlOutput::Frame { peer, frame } => self.send(peer, frame),
            ControlOutput::Plan(plan) => self.plan(plan),
            ControlOutput::PlanConfirmed(revision) => self.plan_confirmed(revision),
            _ => {}
        }
    }
}

fn agent_config(settings: &Settings) -> AgentConfig {
    AgentConfig { heartbeat_interval: settings.timing.heartbeat, ..AgentConfig::default() }
}

fn endpoint_record(
    settings: &Settings,
    role: &AgentSettings,
    incarnation: Incarnation,
) -> EndpointRecord {
    EndpointRecord {
        endpoint: role.endpoint.name.clone(),
        instance: settings.process.instance.clone(),
        data_centre: settings.process.data_centre.clone(),
        kind: role.endpoint.kind.clone(),
        agent: settings.listen.inner,
        incarnation,
        state: EndpointState::Live,
        target: None,
    }
}

fn agent_options(settings: &Settings, role: &AgentSettings) -> AgentOptions {
    AgentOptions {
        process: settings.process.name.clone(),
        data_centre: settings.process.data_centre.clone(),
        region: settings.process.region.clone(),
        endpoint_url: role.endpoint.url.as_str().to_owned(),
        link: LinkConfig::default().heartbeat_timeout(settings.timing.silence),
    }
}
