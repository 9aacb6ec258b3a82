//! Who owns the keys of a service: leases, slots and changes of owner.

mod assign;
mod core;
mod event;
mod id;
mod lease_holder;
mod object;
mod slot_map;
mod takeover;
mod takeover_event;
mod times;

pub use self::core::OwnerCore;
pub use self::event::{OwnerAction, OwnerEvent};
pub use self::id::{OwnerId, Slot};
pub use self::object::{OwnerLease, OwnerTable, SlotOwner};
pub use self::slot_map::{Destination, SlotMap};
pub use self::takeover::TakeoverCore;
pub use self::takeover_event::{TakeoverAction, TakeoverEvent};
pub use self::times::OwnerTimes;
