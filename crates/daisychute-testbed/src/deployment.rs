//! A running deployment.

use std::net::SocketAddr;
use std::time::Duration;

use daisychute_core::{
    Configuration, EndpointKind, EndpointRecord, EndpointState, Incarnation, ProcessStatus,
    Revision,
};
use daisychute_standin::harness::{Client, Process, Program, wait_for};
use daisychute_store::ConfigurationDocument;
use futures_util::future::join_all;
use serde::Serialize;
use serde_json::{Value, json};

use crate::addr::ReservedAddr;
use crate::node::Daemon;
use crate::{AgentNode, DeploymentSpec, EntryNode, TestbedError, configuration};

const API: &str = "/apis/daisychute.dev/v1";
const API_VERSION: &str = "daisychute.dev/v1";
/// Maximum time until a stand-in listens.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time until a killed daemon has ended.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time for a status request to a daemon.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// A running deployment: the platform stand-in, agents with their endpoints, and entries.
///
/// Dropping it kills its processes.
#[derive(Debug)]
pub struct Deployment {
    spec: DeploymentSpec,
    platform: Process,
    platform_addr: SocketAddr,
    agents: Vec<AgentNode>,
    entries: Vec<EntryNode>,
}

impl Deployment {
    /// Starts all processes of the specification and waits until every entry is ready and can reach every endpoint.
    ///
    /// # Errors
    ///
    /// A program was not built, can't be started or is not ready in time; a name is invalid; the platform rejects a write.
    pub async fn start(spec: DeploymentSpec) -> Result<Self, TestbedError> {
        let mut platform = Program::standin("platform")?.start()?;
        let platform_addr = platform.wait_listening(LISTEN_TIMEOUT).await?;
        let mut deployment =
            Self { spec, platform, platform_addr, agents: Vec::new(), entries: Vec::new() };
        let cfg = configuration(&deployment.spec)?;
        deployment.put_configuration(Revision::new(1), cfg).await?;
        for index in 0..deployment.spec.engines {
            deployment.add_engine(index).await?;
        }
        for index in 0..deployment.spec.services {
            deployment.add_service(index).await?;
        }
        for index in 0..deployment.spec.entries {
            deployment.add_entry(index)?;
        }
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    /// An HTTP client of the platform's stand-in.
    #[must_use]
    pub fn platform(&self) -> Client {
        Client::new(self.platform_addr)
    }

    /// The base URL of the platform's stand-in.
    #[must_use]
    pub fn platform_url(&self) -> String {
        format!("http://{}", self.platform_addr)
    }

    /// The process of the platform's stand-in.
    pub const fn platform_process(&mut self) -> &mut Process {
        &mut self.platform
    }

    /// The specification that the deployment was started with.
    #[must_use]
    pub const fn spec(&self) -> &DeploymentSpec {
        &self.spec
    }

    /// The region; the deployment has the same name.
    #[must_use]
    pub const fn region(&self) -> &'static str {
        self.spec.region
    }

    /// The model that its engines serve.
    #[must_use]
    pub const fn model(&self) -> &'static str {
        self.spec.model
    }

    /// The entry with this index, from zero.
    #[must_use]
    pub fn entry(&self, index: usize) -> &EntryNode {
        &self.entries[index]
    }

    /// The entry with this index, mutable.
    pub fn entry_mut(&mut self, index: usize) -> &mut EntryNode {
        &mut self.entries[index]
    }

    /// All entries, in the order in which they were started.
    #[must_use]
    pub fn entries(&self) -> &[EntryNode] {
        &self.entries
    }

    /// The agents of the engines, then those of the services.
    #[must_use]
    pub fn agents(&self) -> &[AgentNode] {
        &self.agents
    }

    /// The agents of the engines, then those of the services, mutable.
    pub fn agents_mut(&mut self) -> &mut [AgentNode] {
        &mut self.agents
    }

    /// Writes a configuration with this revision and replaces any earlier one.
    ///
    /// # Errors
    ///
    /// The platform can't be reached or rejects the write.
    pub async fn put_configuration(
        &self,
        revision: Revision,
        configuration: Configuration,
    ) -> Result<(), TestbedError> {
        let document = ConfigurationDocument { revision, configuration };
        self.put_object("configurations", self.spec.region, &document).await
    }

    /// Writes the record of an endpoint and replaces any earlier one.
    ///
    /// # Errors
    ///
    /// The platform can't be reached or rejects the write.
    pub async fn put_instance(&self, record: &EndpointRecord) -> Result<(), TestbedError> {
        self.put_object("instances", record.endpoint.as_str(), record).await
    }

    /// The path of an object on the platform.
    pub(crate) fn object_path(&self, kind: &str, name: &str) -> String {
        format!("{API}/{kind}/{name}")
    }

    async fn put_object(
        &self,
        kind: &str,
        name: &str,
        spec: &impl Serialize,
    ) -> Result<(), TestbedError> {
        let client = self.platform();
        let path = self.object_path(kind, name);
        let current = client.get(&path).await?;
        let mut object = json!({ "apiVersion": API_VERSION, "kind": kind, "metadata": { "name": name }, "spec": spec });
        let response = if current.status.is_success() {
            let current: Value = current.json()?;
            object["metadata"]["resourceVersion"] = current["metadata"]["resourceVersion"].clone();
            client.put(&path, &object).await?
        } else {
            client.post(&format!("{API}/{kind}"), &object).await?
        };
        if response.status.is_success() {
            return Ok(());
        }
        Err(TestbedError::Platform {
            path,
            status: response.status.as_u16(),
            body: response.text(),
        })
    }

    async fn add_engine(&mut self, index: usize) -> Result<(), TestbedError> {
        let program = Program::standin("engine")?.args(["--model", self.spec.model]);
        let program = program.args(self.spec.engine_args.iter().cloned());
        let name = format!("{}-{}", self.spec.model, index + 1);
        self.add_agent(index, name, EndpointKind::Engine, &program).await
    }

    async fn add_service(&mut self, index: usize) -> Result<(), TestbedError> {
        let program = Program::standin("service")?.args(["--name", self.spec.service]);
        let program = program.args(self.spec.service_args.iter().cloned());
        let name = format!("{}-{}", self.spec.service, index + 1);
        let kind = EndpointKind::Service(self.spec.service.try_into()?);
        self.add_agent(index, name, kind, &program).await
    }

    async fn add_agent(
        &mut self,
        index: usize,
        name: String,
        kind: EndpointKind,
        standin: &Program,
    ) -> Result<(), TestbedError> {
        let (standin, standin_addr) = self.start_standin(&kind, standin).await?;
        let addrs = [ReservedAddr::new()?, ReservedAddr::new()?];
        let [peer_addr, admin_addr] = addrs.each_ref().map(ReservedAddr::addr);
        let kind_key = match &kind {
            EndpointKind::Engine => "kind = engine".to_owned(),
            EndpointKind::Service(service) => format!("kind = service\nservice = {service}"),
        };
        let settings = format!(
            "{}[listen]\ninner = {peer_addr}\nadmin = {admin_addr}\n\
             [endpoint]\nname = {name}\n{kind_key}\nurl = http://{standin_addr}\n",
            self.common_settings(&format!("agent-{name}"), "agent", index),
        );
        let record = EndpointRecord {
            endpoint: name.as_str().try_into()?,
            instance: format!("i-{name}").as_str().try_into()?,
            data_centre: self.spec.data_centre(index).try_into()?,
            kind,
            agent: peer_addr,
            incarnation: Incarnation::default(),
            state: EndpointState::Live,
            target: None,
        };
        self.put_instance(&record).await?;
        let daemon = Daemon::start(name, settings, addrs.into())?;
        self.agents.push(AgentNode { daemon, admin_addr, record, standin, standin_addr });
        Ok(())
    }

    /// Starts a stand-in, or returns the address of an earlier agent's if stand-ins are shared.
    async fn start_standin(
        &self,
        kind: &EndpointKind,
        program: &Program,
    ) -> Result<(Option<Process>, SocketAddr), TestbedError> {
        let shared =
            self.agents.iter().find(|it| self.spec.shared_standins && it.record.kind == *kind);
        if let Some(agent) = shared {
            return Ok((None, agent.standin_addr));
        }
        let mut standin = program.start()?;
        let addr = standin.wait_listening(LISTEN_TIMEOUT).await?;
        Ok((Some(standin), addr))
    }

    fn add_entry(&mut self, index: usize) -> Result<(), TestbedError> {
        let name = format!("entry-{}", index + 1);
        let addrs = [ReservedAddr::new()?, ReservedAddr::new()?, ReservedAddr::new()?];
        let [client_addr, peer_addr, admin_addr] = addrs.each_ref().map(ReservedAddr::addr);
        let settings = format!(
            "{}[listen]\ncallers = {client_addr}\ninner = {peer_addr}\nadmin = {admin_addr}\n",
            self.common_settings(&name, "entry", index),
        );
        let daemon = Daemon::start(name, settings, addrs.into())?;
        self.entries.push(EntryNode { daemon, client_addr, admin_addr, tenant: "clerks" });
        Ok(())
    }

    fn common_settings(&self, name: &str, role: &str, index: usize) -> String {
        let DeploymentSpec { region, log_level, daemon_sections, .. } = &self.spec;
        let data_centre = self.spec.data_centre(index);
        let instance = name.strip_prefix("agent-").unwrap_or(name);
        format!(
            "[process]\nname = {name}\nrole = {role}\nregion = {region}\ndata-centre = {data_centre}\n\
             instance = i-{instance}\n[platform]\nurl = {}\ndeployment = {region}\n[log]\nlevel = {log_level}\n{daemon_sections}\n",
            self.platform_url(),
        )
    }

    /// Waits until every entry is ready and has a load report of every endpoint, and the target of every engine.
    ///
    /// # Errors
    ///
    /// An entry is not in that state in time.
    pub async fn wait_ready(&self) -> Result<(), TestbedError> {
        for entry in &self.entries {
            let condition = "an entry is ready and sees every endpoint";
            let ready = wait_for(condition, self.spec.ready_timeout, async || {
                self.is_ready(entry).await.then_some(())
            });
            let log = || entry.daemon.log_tail();
            ready.await.map_err(|source| TestbedError::NotReady { source, log: log() })?;
        }
        Ok(())
    }

    async fn is_ready(&self, entry: &EntryNode) -> bool {
        let ready = entry.client().get("/readyz").await;
        if !ready.is_ok_and(|it| it.status.is_success()) {
            return false;
        }
        let Ok(status) = entry.status().await else { return false };
        let reachable = status.endpoints.iter().filter(|it| {
            let has_target = it.kind != EndpointKind::Engine || it.target.is_some();
            it.load.is_some() && has_target
        });
        reachable.count() >= self.agents.len()
    }

    /// Kills all daemons, waits for their ends and starts all of them again.
    ///
    /// # Errors
    ///
    /// A daemon can't be killed or started.
    pub async fn restart_all(&mut self) -> Result<(), TestbedError> {
        for entry in &mut self.entries {
            entry.process().kill()?;
        }
        for agent in &mut self.agents {
            agent.process().kill()?;
        }
        for entry in &mut self.entries {
            entry.process().wait_exit(EXIT_TIMEOUT).await?;
        }
        for agent in &mut self.agents {
            agent.process().wait_exit(EXIT_TIMEOUT).await?;
        }
        for agent in &mut self.agents {
            agent.restart()?;
        }
        for entry in &mut self.entries {
            entry.restart()?;
        }
        Ok(())
    }

    /// The status of every daemon, entries first; `None` if it has not responded within 2 s.
    pub async fn statuses(&self) -> Vec<Option<ProcessStatus>> {
        let entries = self.entries.iter().map(EntryNode::admin);
        let agents = self.agents.iter().map(AgentNode::admin);
        join_all(entries.chain(agents).map(status)).await
    }

    /// Shuts every daemon down gracefully, entries first, and ends the stand-ins.
    ///
    /// # Errors
    ///
    /// A daemon doesn't end in time, or ends with a failure.
    pub async fn stop(&mut self) -> Result<(), TestbedError> {
        for entry in &mut self.entries {
            entry.stop().await?;
        }
        for agent in &mut self.agents {
            agent.stop().await?;
            if let Some(standin) = agent.standin() {
                standin.terminate()?;
            }
        }
        self.platform.terminate()?;
        Ok(())
    }
}

async fn status(admin: Client) -> Option<ProcessStatus> {
    let response = actix_rt::time::timeout(STATUS_TIMEOUT, admin.get("/status")).await;
    response.ok()?.ok()?.json().ok()
}
