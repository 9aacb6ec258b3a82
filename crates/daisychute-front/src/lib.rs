//! A front: an HTTP proxy that takes requests from clients and sends them straight to endpoints.
//!
//! The decisions are made by a [`Dispatcher`](daisychute_dispatch::Dispatcher). This crate is its I/O shell: it reads
//! requests, sends them, passes responses on, watches a [`Directory`] of endpoints and configurations, and exchanges
//! heartbeats with its peers. A deployment supplies a [`Dialect`], which defines the format of requests and responses,
//! and a [`Directory`], which reads the records of endpoints, configurations and fronts. Calls that one front at a time makes
//! to the platform's [`ControlApi`] are made under a lease in a [`DutyStore`].

mod response_info;
mod body_budget;
mod body_progress;
mod client;
mod connection_slots;
mod capacity_limits;
mod dialect;
mod directory;
mod duties;
mod endpoint;
mod event_framer;
mod event_numbering;
mod event_sequence;
mod front;
mod hop_by_hop;
mod live_settings;
mod pacing;
mod peers;
mod plain_server;
mod preview;
mod readiness;
mod side_listener;
mod state;
mod shutdown;

pub use crate::body_budget::{BodyBudget, Room, Ticket};
pub use crate::body_progress::{BodyKey, BodyProgress};
pub use crate::capacity_limits::CapacityLimits;
pub use crate::connection_slots::{ConnectionSlot, ConnectionSlots};
pub use crate::dialect::{Dialect, ForwardParams};
pub use crate::directory::admission::Admission;
pub use crate::directory::answer::Answer;
pub use crate::directory::continuity::Continuity;
pub use crate::directory::departures::Departures;
pub use crate::directory::directory_outage::DirectoryOutage;
pub use crate::directory::position::Position;
pub use crate::directory::record::{Collection, Record};
pub use crate::directory::revisions::Revisions;
pub use crate::directory::store_era::StoreEra;
pub use crate::directory::version_record::VersionRecord;
pub use crate::directory::{Change, Directory, DirectoryError, Listing};
pub use crate::duties::Duties;
pub use crate::duties::control_api::{ControlAnswer, ControlApi, DutyCall};
pub use crate::duties::duty_store::{DutyAnswer, DutyStore};
pub use crate::duties::settings::DutySettings;
pub use crate::event_framer::EventFramer;
pub use crate::event_numbering::EventNumbering;
pub use crate::event_sequence::{Disorder, EventSequence};
pub use crate::front::{Front, FrontError};
pub use crate::hop_by_hop::HOP_BY_HOP;
pub use crate::live_settings::LiveSettings;
pub use crate::peers::announcements::{AnnouncementPolicy, Announcements};
pub use crate::peers::peer_records::PeerRecords;
pub use crate::peers::snapshot_sources::SnapshotSources;
pub use crate::response_info::{LimitNotice, PauseRequest, ResponseInfo};
