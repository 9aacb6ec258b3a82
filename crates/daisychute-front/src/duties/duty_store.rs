//! Access to the objects in which duties keep their leases and their state.

use daisychute_core::Era;
use daisychute_store::{Object, ObjectKind, ReadOutcome, WriteOutcome};

/// The answer to a call of a [`DutyStore`].
#[derive(Debug, Clone, PartialEq)]
pub struct DutyAnswer<T> {
    /// Era that the answer names; `None` if there was no answer, or it names none.
    pub era: Option<Era>,
    /// What the call did.
    pub outcome: T,
}

impl<T> DutyAnswer<T> {
    /// Creates the answer of a store in this era.
    pub const fn new(era: Option<Era>, outcome: T) -> Self {
        Self { era, outcome }
    }
}

/// A store of versioned objects with conditional writes. It makes no decisions.
pub trait DutyStore: Clone + 'static {
    /// Reads an object.
    fn read(&self, kind: ObjectKind, name: &str) -> impl Future<Output = DutyAnswer<ReadOutcome>>;

    /// Creates an object without a version, or replaces the version that the object has.
    fn write(&self, object: &Object) -> impl Future<Output = DutyAnswer<WriteOutcome>>;
}
