//! The I/O shell, which a daemon embeds to take part in configuration and planning.
//!
//! In every process it runs the replicas of the configuration and the plan; in entries also the watcher election, the
//! lease and the planner. The daemon passes in what it receives from its peers and handles the outputs:
//!
//! ```no_run
//! use daisychute_core::{Incarnation, ProcessName};
//! use daisychute_planner::{Control, ControlOutput, ControlSettings};
//! use daisychute_store::{ClientSettings, ObjectClient};
//!
//! # async fn example() -> Result<(), daisychute_core::NameError> {
//! let settings = ControlSettings::entry(
//!     "signs".try_into()?,
//!     "morocco".try_into()?,
//!     "agdal".try_into()?,
//!     "entry-1".try_into()?,
//!     Incarnation::new(1),
//! );
//! let client = ObjectClient::new(ClientSettings::new("http://127.0.0.1:8001"));
//! let (control, mut outputs) = Control::start(settings, client);
//!
//! // For every heartbeat and hello of a peer. Its pulls and documents go to `frame_from_peer`.
//! let peer = ProcessName::try_from("agent-1")?;
//! control.peer_revisions(&peer, Default::default());
//!
//! while let Some(output) = outputs.recv().await {
//!     match output {
//!         ControlOutput::Frame { peer, frame } => println!("send {} to {peer}", frame.kind()),
//!         ControlOutput::Configuration { revision, .. } => println!("configuration {revision}"),
//!         ControlOutput::Plan(plan) => println!("plan {}", plan.revision),
//!         other => println!("{other:?}"),
//!     }
//! }
//! # Ok(())
//! # }
//! ```
//!
//! An agent passes [`ControlOutput::Plan`] and [`ControlOutput::PlanConfirmed`] to the state machine of its
//! reconfiguration orders, and calls [`Control::confirm_plan`] when the state machine requests it.

mod actions;
mod calls;
mod output;
mod settings;
mod state;
mod timer;

use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::sync::Arc;

use daisychute_core::{
    Configuration, EndpointName, EndpointRecord, Plan, ProcessName, ProcessState, ProcessStatus,
    Revisions, Term,
};
use daisychute_proto::{DocumentKind, Frame};
use daisychute_store::{LeaseEvent, ObjectClient, ObjectKind, ReplicaEvent};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use self::state::State;
use crate::{PlanChange, PlannerEvent};

pub use self::output::ControlOutput;
pub use self::settings::ControlSettings;

/// Kinds of the documents that every process replicates.
const REPLICATED_KINDS: [ObjectKind; 2] = [ObjectKind::Configurations, ObjectKind::Plans];

/// Handle of the I/O shell. The shell stops when the last clone is dropped.
#[derive(Clone)]
pub struct Control {
    state: Rc<RefCell<State>>,
}

/// Handle that doesn't keep the I/O shell running.
#[derive(Clone)]
struct WeakControl {
    state: Weak<RefCell<State>>,
}

impl WeakControl {
    fn upgrade(&self) -> Option<Control> {
        self.state.upgrade().map(|state| Control { state })
    }
}

impl Control {
    /// Starts the shell on the current `actix_rt` system and returns its outputs.
    #[must_use]
    pub fn start(
        settings: ControlSettings,
        client: ObjectClient,
    ) -> (Self, UnboundedReceiver<ControlOutput>) {
        let (tx, rx) = unbounded_channel();
        let control = Self { state: Rc::new(RefCell::new(State::new(settings, client, tx))) };
        actix_rt::spawn(calls::run_timer(control.downgrade()));
        control.tick();
        (control, rx)
    }

    /// The configuration in force; `None` until one was accepted.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.state.borrow().configuration.document()
    }

    /// The plan in force; `None` until one was accepted.
    #[must_use]
    pub fn plan(&self) -> Option<Arc<Plan>> {
        self.state.borrow().plan.document()
    }

    /// Revisions of the documents in force and the term of the plan, as sent in heartbeats.
    #[must_use]
    pub fn revisions(&self) -> Revisions {
        let state = self.state.borrow();
        Revisions {
            configuration: state.configuration.revision(),
            plan: state.plan.revision(),
            term: state.plan.document().map_or(Term::ZERO, |it| it.term),
        }
    }

    /// Lease term under which this process may plan now; `None` if it may not.
    #[must_use]
    pub fn term(&self) -> Option<Term> {
        let state = self.state.borrow();
        state.entry_cores.as_ref()?.lease.held_term(state.clock.now())
    }

    /// Whether this process is elected to watch the platform's object store. Always `false` in an agent.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        let state = self.state.borrow();
        state.entry_cores.is_some() && state.watcher_election.is_watcher(state.clock.now())
    }

    /// Handles the document revisions that a peer reported.
    pub fn peer_revisions(&self, peer: &ProcessName, revisions: Revisions) {
        let event = |revision| ReplicaEvent::PeerRevision { peer: peer.clone(), revision };
        self.replica(ObjectKind::Configurations, event(revisions.configuration));
        self.replica(ObjectKind::Plans, event(revisions.plan));
    }

    /// Handles the loss of the connection to a peer.
    pub fn peer_disconnected(&self, peer: &ProcessName) {
        for kind in REPLICATED_KINDS {
            self.replica(kind, ReplicaEvent::PeerDisconnected { peer: peer.clone() });
        }
    }

    /// Handles a pull or a document from a peer. Other frames are ignored.
    pub fn frame_from_peer(&self, peer: &ProcessName, frame: Frame) {
        let peer = peer.clone();
        match frame {
            Frame::Pull(pull) => {
                let event = ReplicaEvent::PullFrom { peer, have: pull.have };
                self.replica(object_kind(pull.kind), event);
            }
            Frame::Document(document) => {
                let event = ReplicaEvent::Document { peer, body: document.body };
                self.replica(object_kind(document.kind), event);
            }
            _ => {}
        }
    }

    /// Reads the plan from the platform's object store. The result is reported as [`ControlOutput::PlanConfirmed`].
    pub fn confirm_plan(&self) {
        actix_rt::spawn(calls::confirm_plan(self.clone()));
    }

    /// Requests a change of the plan on behalf of a policy. Only the holder of the lease acts on it, and drops it when it
    /// loses the lease, so policies repeat their requests.
    pub fn request_change(&self, change: PlanChange) {
        self.planner(PlannerEvent::PlanChangeRequested(change));
    }

    /// Handles a report of an agent about its engine.
    pub fn endpoint_observed(&self, record: &EndpointRecord) {
        let endpoint = record.endpoint.clone();
        self.planner(PlannerEvent::Observed { endpoint, target: record.target.clone() });
    }

    /// Handles the removal of an endpoint.
    pub fn endpoint_removed(&self, endpoint: EndpointName) {
        self.planner(PlannerEvent::EndpointRemoved(endpoint));
    }

    /// Writes the status object of this process, without its lists of endpoints and peers. Releases the lease if the
    /// status says that the process is shutting down.
    pub fn publish_status(&self, mut status: ProcessStatus) {
        status.endpoints.clear();
        status.peers.clear();
        if status.state == ProcessState::Leaving {
            self.release();
        }
        actix_rt::spawn(calls::publish_status(self.clone(), status));
    }

    /// Releases the lease if it is held, and doesn't acquire it again. Called when the process starts to shut down.
    pub fn release(&self) {
        self.lease(LeaseEvent::Release);
    }

    fn downgrade(&self) -> WeakControl {
        WeakControl { state: Rc::downgrade(&self.state) }
    }
}

fn object_kind(kind: DocumentKind) -> ObjectKind {
    match kind {
        DocumentKind::Configuration => ObjectKind::Configurations,
        DocumentKind::Plan => ObjectKind::Plans,
    }
}

fn document_kind(kind: ObjectKind) -> DocumentKind {
    match kind {
        ObjectKind::Plans => DocumentKind::Plan,
        _ => DocumentKind::Configuration,
    }
}
