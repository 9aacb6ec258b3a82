//! The daemons of a deployment.

use std::net::SocketAddr;
use std::time::Duration;

use daisychute_core::{EndpointKind, EndpointRecord, ProcessStatus};
use daisychute_standin::engine::EngineSeen;
use daisychute_standin::harness::{Client, HarnessError, Process, Program};
use daisychute_standin::service::ServiceSeen;

use crate::TestbedError;
use crate::addr::ReservedAddr;

/// Number of log lines that an error shows, from the end of the log.
const MAX_LOG_LINES: usize = 40;
/// The program that runs entries and agents.
const DAEMON_PROGRAM: &str = "daisychuted";
/// Maximum time for the graceful shutdown of a daemon.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(30);

/// A running daemon with its settings, so that it can be restarted.
#[derive(Debug)]
pub(crate) struct Daemon {
    name: String,
    settings: String,
    process: Process,
    /// Its listen addresses, which stay reserved for a restart.
    _addrs: Vec<ReservedAddr>,
}

impl Daemon {
    pub(crate) fn start(
        name: String,
        settings: String,
        addrs: Vec<ReservedAddr>,
    ) -> Result<Self, HarnessError> {
        let process = Program::built(DAEMON_PROGRAM)?.settings(settings.clone()).start()?;
        Ok(Self { name, settings, process, _addrs: addrs })
    }

    /// The last lines that it logged.
    pub(crate) fn log_tail(&self) -> String {
        let lines = self.process.stderr();
        lines[lines.len().saturating_sub(MAX_LOG_LINES)..].join("\n")
    }

    fn restart(&mut self) -> Result<(), HarnessError> {
        self.process = Program::built(DAEMON_PROGRAM)?.settings(self.settings.clone()).start()?;
        Ok(())
    }

    async fn stop(&mut self) -> Result<(), TestbedError> {
        self.process.terminate()?;
        let status = self.process.wait_exit(SHUTDOWN_TIMEOUT).await?;
        if status.success() {
            Ok(())
        } else {
            Err(TestbedError::BadExit { process: self.name.clone(), status })
        }
    }
}

/// An entry of a deployment.
#[derive(Debug)]
pub struct EntryNode {
    pub(crate) daemon: Daemon,
    pub(crate) client_addr: SocketAddr,
    pub(crate) admin_addr: SocketAddr,
    pub(crate) tenant: &'static str,
}

/// An agent and the stand-in of its endpoint.
#[derive(Debug)]
pub struct AgentNode {
    pub(crate) daemon: Daemon,
    pub(crate) admin_addr: SocketAddr,
    pub(crate) record: EndpointRecord,
    // `None` if the stand-in is shared and another agent owns its process.
    pub(crate) standin: Option<Process>,
    pub(crate) standin_addr: SocketAddr,
}

macro_rules! daemons {
    ($($node:ident)*) => {$(
        impl $node {
            /// The name of the daemon.
            #[must_use]
            pub fn name(&self) -> &str {
                &self.daemon.name
            }

            /// The process of the daemon, also after it has ended.
            pub fn process(&mut self) -> &mut Process {
                &mut self.daemon.process
            }

            /// Restarts the daemon with the same settings, after it has ended.
            ///
            /// # Errors
            ///
            /// The program can't be started.
            pub fn restart(&mut self) -> Result<(), HarnessError> {
                self.daemon.restart()
            }

            /// Shuts the daemon down gracefully and waits for its end.
            ///
            /// # Errors
            ///
            /// It doesn't end within 30 s, or ends with a failure.
            pub async fn stop(&mut self) -> Result<(), TestbedError> {
                self.daemon.stop().await
            }

            /// The address of its admin listener.
            #[must_use]
            pub const fn admin_addr(&self) -> SocketAddr {
                self.admin_addr
            }

            /// The status that the daemon reports on its admin listener.
            ///
            /// # Errors
            ///
            /// The request fails, or the response isn't a status.
            pub async fn status(&self) -> Result<ProcessStatus, HarnessError> {
                self.admin().get("/status").await?.json()
            }

            /// An HTTP client of its admin listener.
            #[must_use]
            pub fn admin(&self) -> Client {
                Client::new(self.admin_addr)
            }
        }
    )*};
}

daemons! { EntryNode AgentNode }

impl EntryNode {
    /// The address at which the entry accepts requests of clients.
    #[must_use]
    pub const fn client_addr(&self) -> SocketAddr {
        self.client_addr
    }

    /// An HTTP client that sends requests to the entry as the deployment's tenant.
    #[must_use]
    pub fn client(&self) -> Client {
        Client::new(self.client_addr).header("X-Daisychute-Tenant", self.tenant)
    }
}

impl AgentNode {
    /// The endpoint record that the deployment wrote to the platform before it started the agent.
    #[must_use]
    pub const fn record(&self) -> &EndpointRecord {
        &self.record
    }

    /// The process of the endpoint's stand-in; `None` if the stand-in is shared and another agent owns its process.
    pub const fn standin(&mut self) -> Option<&mut Process> {
        self.standin.as_mut()
    }

    /// Whether its endpoint is an engine.
    #[must_use]
    pub fn is_engine(&self) -> bool {
        self.record.kind == EndpointKind::Engine
    }

    /// The requests that the engine stand-in has recorded.
    ///
    /// # Errors
    ///
    /// The request fails, or the endpoint is not an engine.
    pub async fn engine_seen(&self) -> Result<EngineSeen, HarnessError> {
        self.endpoint().get("/_standin/seen").await?.json()
    }

    /// The calls that the service stand-in has recorded.
    ///
    /// # Errors
    ///
    /// The request fails, or the endpoint is not a plain service.
    pub async fn service_seen(&self) -> Result<ServiceSeen, HarnessError> {
        self.endpoint().get("/_standin/seen").await?.json()
    }

    /// The address of the endpoint's stand-in.
    #[must_use]
    pub const fn endpoint_addr(&self) -> SocketAddr {
        self.standin_addr
    }

    /// An HTTP client of the endpoint's stand-in.
    #[must_use]
    pub fn endpoint(&self) -> Client {
        Client::new(self.standin_addr)
    }
}
