//! Background clients that check every response.

mod balancer;
mod client;
mod report;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use daisychute_standin::harness::wait_until;

use self::balancer::Balancer;
use self::client::LoadClient;
pub use self::report::{Fault, Report};
use crate::{Deployment, EntryNode, TestbedError};

/// Maximum wait for further complete responses, and for the last responses at the end.
const RESPONSES_TIMEOUT: Duration = Duration::from_secs(40);

/// Clients with persistent connections, behind a load balancer that polls the readiness of the entries.
#[derive(Debug)]
pub struct Load {
    report: Rc<RefCell<Report>>,
    stopping: Rc<Cell<bool>>,
    clients: Vec<JoinHandle<()>>,
    balancer: JoinHandle<()>,
}

impl Load {
    /// Starts the given number of clients. Each has one request in flight at a time.
    #[must_use]
    pub fn start(deployment: &Deployment, clients: usize) -> Self {
        let entries: Vec<SocketAddr> =
            deployment.entries().iter().map(EntryNode::client_addr).collect();
        let balancer = Rc::new(Balancer::new(entries));
        let report = Rc::<RefCell<Report>>::default();
        let stopping = Rc::new(Cell::new(false));
        let clients = (0..clients).map(|index| {
            let client = LoadClient::new(index, deployment.spec(), Rc::clone(&balancer));
            actix_rt::spawn(client.run(Rc::clone(&report), Rc::clone(&stopping)))
        });
        let clients = clients.collect();
        let balancer = actix_rt::spawn(balancer::poll_readiness(balancer));
        Self { report, stopping, clients, balancer }
    }

    /// A copy of the results so far; the runs of the services are compared only by [`Load::finish`].
    #[must_use]
    pub fn report(&self) -> Report {
        self.report.borrow().clone()
    }

    /// Waits until this many more requests have received a complete response.
    ///
    /// # Errors
    ///
    /// It takes longer than 40 s.
    pub async fn wait_responses(&self, count: usize) -> Result<(), TestbedError> {
        let target = self.report.borrow().whole + count;
        let reached = || self.report.borrow().whole >= target;
        wait_until("enough complete responses", RESPONSES_TIMEOUT, reached).await?;
        Ok(())
    }

    /// Lets every client finish its last request, and compares the outcomes with the runs that the service stand-ins
    /// recorded.
    ///
    /// # Errors
    ///
    /// A request has no response within 40 s, or a stand-in can't be queried.
    pub async fn finish(mut self, deployment: &Deployment) -> Result<Report, TestbedError> {
        self.stopping.set(true);
        let finished = || self.clients.iter().all(JoinHandle::is_finished);
        wait_until("every request has its response", RESPONSES_TIMEOUT, finished).await?;
        self.clients.clear();
        let mut report = self.report();
        for agent in deployment.agents() {
            if !agent.is_engine() {
                report.add_executions(&agent.service_seen().await?);
            }
        }
        report.check_executions();
        Ok(report)
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.balancer.abort();
        for client in &self.clients {
            client.abort();
        }
    }
}
