//! Callers in the background that check every answer.

mod balancer;
mod caller;
mod report;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use daisychute_standin::harness::wait_until;

use self::balancer::Balancer;
use self::caller::Caller;
pub use self::report::{Fault, Report};
use crate::{Deployment, EntryNode, TestbedError};

/// How long so many answers, or the last ones, may take.
const ANSWERS: Duration = Duration::from_secs(40);

/// Callers that keep their connections open, behind a balancer that follows the readiness of the entries.
#[derive(Debug)]
pub struct Load {
    report: Rc<RefCell<Report>>,
    stopping: Rc<Cell<bool>>,
    callers: Vec<JoinHandle<()>>,
    balancer: JoinHandle<()>,
}

impl Load {
    /// Starts so many callers. Each has one request at a time.
    #[must_use]
    pub fn start(deployment: &Deployment, callers: usize) -> Self {
        let entries: Vec<SocketAddr> =
            deployment.entries().iter().map(EntryNode::client_addr).collect();
        let balancer = Rc::new(Balancer::new(entries));
        let report = Rc::<RefCell<Report>>::default();
        let stopping = Rc::new(Cell::new(false));
        let callers = (0..callers).map(|number| {
            let caller = Caller::new(number, deployment.plan(), Rc::clone(&balancer));
            actix_rt::spawn(caller.run(Rc::clone(&report), Rc::clone(&stopping)))
        });
        let callers = callers.collect();
        let balancer = actix_rt::spawn(balancer::follow(balancer));
        Self { report, stopping, callers, balancer }
    }

    /// What came of the requests so far.
    #[must_use]
    pub fn report(&self) -> Report {
        self.report.borrow().clone()
    }

    /// Waits until so many more answers were whole.
    ///
    /// # Errors
    ///
    /// They take too long.
    pub async fn wait_responses(&self, answers: usize) -> Result<(), TestbedError> {
        let wanted = self.report.borrow().whole + answers;
        let enough = || self.report.borrow().whole >= wanted;
        wait_until("enough whole answers", ANSWERS, enough).await?;
        Ok(())
    }

    /// Lets every caller finish its last request, and compares the counts with what the services ran.
    ///
    /// # Errors
    ///
    /// A request is never answered, or a service can't be asked.
    pub async fn finish(mut self, deployment: &Deployment) -> Result<Report, TestbedError> {
        self.stopping.set(true);
        let ended = || self.callers.iter().all(JoinHandle::is_finished);
        wait_until("every request has its answer", ANSWERS, ended).await?;
        self.callers.clear();
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
        for caller in &self.callers {
            caller.abort();
        }
    }
}
