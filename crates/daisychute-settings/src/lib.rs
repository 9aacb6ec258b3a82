//! Settings of a process and configuration of a deployment, read from INI into checked types.
//!
//! A file is read in three steps: `rust-ini` splits it into sections and keys, each section becomes a raw struct of
//! unchecked fields, and `TryFrom` turns each raw struct into a checked type. All problems of a file are reported
//! together, each with its location in the file.
//!
//! ```
//! use daisychute_settings::{RoleSettings, Settings};
//!
//! let text = "\
//! [process]
//! name = entry-1
//! role = entry
//! region = morocco
//! data-centre = agdal
//! instance = i-1
//! [listen]
//! callers = 127.0.0.1:8080
//! inner = 127.0.0.1:4000
//! admin = 127.0.0.1:9000
//! [platform]
//! url = http://127.0.0.1:7000
//! deployment = rabat-sale
//! ";
//! let settings = Settings::parse("entry-1.ini", text)?;
//! assert!(matches!(settings.role, RoleSettings::Entry(_)));
//! # Ok::<(), daisychute_settings::SettingsError>(())
//! ```

mod endpoint_capability;
mod configuration;
mod document;
mod error;
mod field;
mod file;
mod front;
mod front_change;
mod hint;
mod keys;
mod limits;
mod listen;
mod log;
mod platform;
mod problem;
mod process;
mod role;
mod rule;
mod settings;
mod size;
mod spans;
mod timing;
mod url;

pub use crate::configuration::{Change, ConfigurationDiff, ConfigurationFile};
pub use crate::endpoint_capability::{EndpointCapability, UnmeetableTarget, unmeetable_targets};
pub use crate::error::SettingsError;
pub use crate::front::{DutySettings, FrontDuty, FrontSettings, MachineSettings, RetrySettings};
pub use crate::front_change::FrontChange;
pub use crate::hint::{Accepted, Hint, Remedy};
pub use crate::keys::SectionKeys;
pub use crate::limits::LimitSettings;
pub use crate::listen::ListenSettings;
pub use crate::log::{LogFormat, LogLevel, LogSettings};
pub use crate::platform::{PeerSettings, PlatformSettings};
pub use crate::problem::Problem;
pub use crate::process::ProcessSettings;
pub use crate::role::{AgentSettings, EndpointSettings, EntrySettings, RoleSettings};
pub use crate::settings::Settings;
pub use crate::size::{ByteSize, ParseByteSizeError};
pub use crate::timing::TimingSettings;
pub use crate::url::{BaseUrl, BaseUrlError};
