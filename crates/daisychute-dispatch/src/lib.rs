//! Sans-I/O core that routes the requests of one front to endpoints.
//!
//! Each front has one [`Dispatcher`]. It holds the [`RouteTable`] in force, the [`Fleet`] of endpoints and one state
//! machine per request. It takes the current time and an [`Event`] and returns [`Action`]s; the I/O shell that drives
//! it owns sockets and timers. The output depends on the input only.
//!
//! ```
//! use daisychute_core::Time;
//! use daisychute_dispatch::{Action, Dispatcher, DispatchSettings, Event, RequestInfo, RequestKey};
//!
//! let mut dispatcher = Dispatcher::new(DispatchSettings::default());
//! let mut actions = Vec::new();
//! let request = RequestInfo::new("9c41d07be2a35f68", "signs.example", "/panel/2");
//! dispatcher.handle(Time::ZERO, Event::Arrived { key: RequestKey::new(1), request }, &mut actions);
//! // No configuration was received yet.
//! assert!(matches!(actions[0], Action::Refuse { .. }));
//! ```

mod config;
mod core;
mod fleet;
mod settings;

pub use crate::config::accounts::{
    Account, Accounts, AccountsError, Credentials, ForwardedIdentity, KeyHash,
};
pub use crate::config::backends::{Backend, Backends, ZeroWeightError};
pub use crate::config::client_limits::ClientLimits;
pub use crate::config::engine_spec::EngineSpec;
pub use crate::config::request_kind::RequestKind;
pub use crate::config::route::Route;
pub use crate::config::route_table::{DuplicateRoute, RouteTable};
pub use crate::config::service_spec::ServiceSpec;
pub use crate::core::action::{Action, SendDecision, Task};
pub use crate::core::cause::Cause;
pub use crate::core::crash_news::{CrashNews, Suspect};
pub use crate::core::directory_read::{DirectoryRead, RecordedVersions};
pub use crate::core::dispatcher::Dispatcher;
pub use crate::core::event::{Event, SendFailure};
pub use crate::core::limits::LimitNews;
pub use crate::core::origin_basis::OriginBasis;
pub use crate::core::preview::{EndpointPreview, HeldBack, Preview, PreviewDecision};
pub use crate::core::quarantine::Quarantine;
pub use crate::core::reason::Reason;
pub use crate::core::request_info::{Fingerprint, RequestInfo, RequestKey, Resumption};
pub use crate::core::response_end::{EndStep, EndpointSign, ResponseEnd};
pub use crate::core::stream_origins::StreamOrigin;
pub use crate::core::version_records::SoftwareVersions;
pub use crate::fleet::backlog::Backlog;
pub use crate::fleet::budget::{BudgetUse, RetryBudget};
pub use crate::fleet::endpoint::{Endpoint, EndpointKey, EndpointLifecycle, EngineStage};
pub use crate::fleet::front_position::FrontPosition;
pub use crate::fleet::health::Health;
pub use crate::fleet::incarnation::Incarnation;
pub use crate::fleet::load::{LoadSample, PeerLoad};
pub use crate::fleet::prompt::{Prompt, PromptPart};
pub use crate::fleet::recent_delay::RecentDelay;
pub use crate::fleet::recent_maximum::RecentMaximum;
pub use crate::fleet::request_rate::{RequestRate, RequestRateError};
pub use crate::fleet::wait_factor::WaitFactor;
pub use crate::fleet::work_rate::WorkRate;
pub use crate::fleet::{Fleet, Removal};
pub use crate::settings::DispatchSettings;
