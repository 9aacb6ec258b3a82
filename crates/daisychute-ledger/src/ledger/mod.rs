//! The ledger that an agent keeps of non-repeatable calls.

mod answer;
mod core;
mod digest;
mod event;
mod key;
mod limits;
mod record;
mod refused;
mod standing;

pub use self::answer::Answer;
pub use self::core::LedgerCore;
pub use self::digest::CallDigest;
pub use self::event::{LedgerAction, LedgerEvent, NewCall};
pub use self::key::{CallKey, KeyError, KeyOrigin};
pub use self::limits::LedgerLimits;
pub use self::record::{EndedCall, Ending};
pub use self::standing::Standing;
