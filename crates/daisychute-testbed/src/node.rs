//! The daemons of a deployment.

use std::net::SocketAddr;
use std::time::Duration;

use daisychute_core::{EndpointKind, EndpointRecord, ProcessStatus};
use daisychute_standin::engine::EngineSeen;
use daisychute_standin::harness::{Client, HarnessError, Process, Program};
use daisychute_standin::service::ServiceSeen;

use crate::TestbedError;

/// Lines of a log that an error shows.
const LOG_LINES: usize = 40;
const DAEMON: &str = "daisychuted";
/// How long a daemon may take to leave.
const LEAVE: Duration = Duration::from_secs(30);

/// A daemon that can be started again with the same settings.
#[derive(Debug)]
pub(crate) struct Daemon {
    name: String,
    settings: String,
    process: Process,
}

impl Daemon {
    pub(crate) fn start(name: String, settings: String) -> Result<Self, HarnessError> {
        let process = Program::built(DAEMON)?.settings(settings.clone()).start()?;
        Ok(Self { name, settings, process })
    }

    /// The end of what it logged.
    pub(crate) fn log(&self) -> String {
        let lines = self.process.stderr();
        lines[lines.len().saturating_sub(LOG_LINES)..].join("\n")
    }

    fn restart(&mut self) -> Result<(), HarnessError> {
        self.process = Program::built(DAEMON)?.settings(self.settings.clone()).start()?;
        Ok(())
    }

    async fn stop(&mut self) -> Result<(), TestbedError> {
        self.process.terminate()?;
        let status = self.process.wait_exit(LEAVE).await?;
        if status.success() {
            Ok(())
        } else {
            Err(TestbedError::BadExit { process: self.name.clone(), status })
        }
    }
}

/// An entry.
#[derive(Debug)]
pub struct EntryNode {
    pub(crate) daemon: Daemon,
    pub(crate) callers: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) tenant: &'static str,
}

/// An agent and the stand-in of its endpoint.
#[derive(Debug)]
pub struct AgentNode {
    pub(crate) daemon: Daemon,
    pub(crate) admin: SocketAddr,
    pub(crate) record: EndpointRecord,
    // None where another agent has the same stand-in.
    pub(crate) standin: Option<Process>,
    pub(crate) standin_addr: SocketAddr,
}

macro_rules! daemons {
    ($($node:ident)*) => {$(
        impl $node {
            /// Its name.
            #[must_use]
            pub fn name(&self) -> &str {
                &self.daemon.name
            }

            /// Its process.
            pub fn process(&mut self) -> &mut Process {
                &mut self.daemon.process
            }

            /// Starts it again with the same settings, after it has ended.
            ///
            /// # Errors
            ///
            /// The program can't be started.
            pub fn restart(&mut self) -> Result<(), HarnessError> {
                self.daemon.restart()
            }

            /// Asks it to leave and waits until it has.
            ///
            /// # Errors
            ///
            /// It doesn't leave in time, or ends with a failure.
            pub async fn stop(&mut self) -> Result<(), TestbedError> {
                self.daemon.stop().await
            }

            /// The address of its admin listener.
            #[must_use]
            pub const fn admin_addr(&self) -> SocketAddr {
                self.admin
            }

            /// What it says of itself.
            ///
            /// # Errors
            ///
            /// It doesn't answer.
            pub async fn status(&self) -> Result<ProcessStatus, HarnessError> {
                self.admin().get("/status").await?.json()
            }

            /// A client of its admin listener.
            #[must_use]
            pub fn admin(&self) -> Client {
                Client::new(self.admin)
            }
        }
    )*};
}

daemons! { EntryNode AgentNode }

impl EntryNode {
    /// Where callers reach it.
    #[must_use]
    pub const fn client_addr(&self) -> SocketAddr {
        self.callers
    }

    /// A client that calls it as the deployment's tenant.
    #[must_use]
    pub fn client(&self) -> Client {
        Client::new(self.callers).header("X-Daisychute-Tenant", self.tenant)
    }
}

impl AgentNode {
    /// What the platform lists of it.
    #[must_use]
    pub const fn record(&self) -> &EndpointRecord {
        &self.record
    }

    /// The process of the endpoint's stand-in; none where another agent has the same one.
    pub const fn standin(&mut self) -> Option<&mut Process> {
        self.standin.as_mut()
    }

    /// Whether its endpoint is an engine.
    #[must_use]
    pub fn is_engine(&self) -> bool {
        self.record.kind == EndpointKind::Engine
    }

    /// What the stand-in of its engine has seen.
    ///
    /// # Errors
    ///
    /// It doesn't answer, or is no engine.
    pub async fn engine_seen(&self) -> Result<EngineSeen, HarnessError> {
        self.endpoint().get("/_standin/seen").await?.json()
    }

    /// What the stand-in of its plain service has seen.
    ///
    /// # Errors
    ///
    /// It doesn't answer, or is no plain service.
    pub async fn service_seen(&self) -> Result<ServiceSeen, HarnessError> {
        self.endpoint().get("/_standin/seen").await?.json()
    }

    /// The address of the endpoint's stand-in.
    #[must_use]
    pub const fn endpoint_addr(&self) -> SocketAddr {
        self.standin_addr
    }

    /// A client of the endpoint's stand-in.
    #[must_use]
    pub fn endpoint(&self) -> Client {
        Client::new(self.standin_addr)
    }
}
