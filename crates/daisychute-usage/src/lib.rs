//! Counts requests per window of true time and tenant, and reports each window to the control API.
//!
//! Each front counts in a [`UsageCounter`] and sends [`UsageShare`]s to the holder of the duty, which merges them in a
//! [`UsageCollector`]. The holder's [`UsageReporter`] writes the counts of a window to the store before it sends them, so
//! that no two holders send different counts for one window. [`TrueTime`] estimates the time that delimits windows.
//!
//! The crate does no I/O, reads no clock and has no randomness.

mod collector;
mod counter;
mod event;
mod report;
mod reporter;
mod settings;
mod share;
mod state;
mod true_time;
mod unix_time;
mod window;

pub use crate::collector::UsageCollector;
pub use crate::counter::UsageCounter;
pub use crate::event::{CallOutcome, ReporterAction, ReporterEvent, StateUnavailable, StateWrite};
pub use crate::report::UsageReport;
pub use crate::reporter::UsageReporter;
pub use crate::settings::UsageSettings;
pub use crate::share::UsageShare;
pub use crate::state::{ReportState, StateStamp, StateVersion};
pub use crate::true_time::TrueTime;
pub use crate::unix_time::UnixTime;
pub use crate::window::WindowId;
