//! The I/O of the entry: callers' connections, connections to agents, timers.

mod caller;
mod entry_shell;
mod handle;
mod input;

pub use self::entry_shell::{EntryOptions, EntryShell};
pub use self::handle::EntryHandle;
pub(crate) use self::input::Input;
