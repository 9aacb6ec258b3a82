//! The control shell: what a daemon embeds to take part in the shared state of the system.
//!
//! It runs the replicas of configuration and plan in every process, and in entries also the election of watchers, the
//! lease and the planner. The daemon passes on what it hears from its peers and does what comes out:
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
//! // Frames of the inner protocol: every heartbeat and hello of a peer, and its pulls and documents.
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
//! An agent gives [`ControlOutput::Plan`] and [`ControlOutput::PlanConfirmed`] to its order core, and calls
//! [`Control::confirm_plan`] when that core asks for it.

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

/// The documents that have a replica in every process.
const SHARED: [ObjectKind; 2] = [ObjectKind::Configurations, ObjectKind::Plans];

/// Handle of the control shell. It stops when the last clone is dropped.
#[derive(Clone)]
pub struct Control {
    state: Rc<RefCell<State>>,
}

/// Handle that doesn't keep the control shell running.
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
    /// Starts the shell on the present `actix_rt` system.
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

    /// The configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.state.borrow().configuration.document()
    }

    /// The plan in force.
    #[must_use]
    pub fn plan(&self) -> Option<Arc<Plan>> {
        self.state.borrow().plan.document()
    }

    /// The revisions in force, for heartbeats.
    #[must_use]
    pub fn revisions(&self) -> Revisions {
        let state = self.state.borrow();
        Revisions {
            configuration: state.configuration.revision(),
            plan: state.plan.revision(),
            term: state.plan.document().map_or(Term::ZERO, |it| it.term),
        }
    }

    /// The term on which this process may plan now.
    #[must_use]
    pub fn term(&self) -> Option<Term> {
        let state = self.state.borrow();
        state.authority.as_ref()?.lease.held_term(state.clock.now())
    }

    /// Whether this process watches the platform.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        let state = self.state.borrow();
        state.authority.is_some() && state.candidates.is_watcher(state.clock.now())
    }

    /// A peer said which documents it has.
    pub fn peer_revisions(&self, peer: &ProcessName, revisions: Revisions) {
        let seen = |revision| ReplicaEvent::PeerRevision { peer: peer.clone(), revision };
        self.replica(ObjectKind::Configurations, seen(revisions.configuration));
        self.replica(ObjectKind::Plans, seen(revisions.plan));
    }

    /// There is no connection to a peer any more.
    pub fn peer_disconnected(&self, peer: &ProcessName) {
        for kind in SHARED {
            self.replica(kind, ReplicaEvent::PeerDisconnected { peer: peer.clone() });
        }
    }

    /// A peer sent a pull or a document. Other frames are passed over.
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

    /// Reads the plan on the platform; [`ControlOutput::PlanConfirmed`] is the answer.
    pub fn confirm_plan(&self) {
        actix_rt::spawn(calls::confirm_plan(self.clone()));
    }

    /// A policy wishes a change of the plan. Only the holder of the lease acts on it; a policy repeats its wishes.
    pub fn request_change(&self, change: PlanChange) {
        self.planner(PlannerEvent::PlanChangeRequested(change));
    }

    /// An agent said what its engine is.
    pub fn endpoint_observed(&self, record: &EndpointRecord) {
        let endpoint = record.endpoint.clone();
        self.planner(PlannerEvent::Observed { endpoint, target: record.target.clone() });
    }

    /// An endpoint is no longer there.
    pub fn endpoint_removed(&self, endpoint: EndpointName) {
        self.planner(PlannerEvent::EndpointRemoved(endpoint));
    }

    /// Writes the status object of this process, without its lists of endpoints and peers.
    pub fn publish_status(&self, mut status: ProcessStatus) {
        status.endpoints.clear();
        status.peers.clear();
        if status.state == ProcessState::Leaving {
            self.release();
        }
        actix_rt::spawn(calls::publish_status(self.clone(), status));
    }

    /// Gives the lease up, if it is held, and doesn't take it again. Said when the process begins to leave.
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
