//! The I/O shell of the entry: clients, connections to agents and timers.

mod entry_shell;
mod handle;
mod input;
mod pending_client;

pub use self::entry_shell::{EntryOptions, EntryShell};
pub use self::handle::EntryHandle;
pub(crate) use self::input::Input;
