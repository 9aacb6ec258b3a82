//! Access to the objects in which duties keep their leases and their state.

use daisychute_store::{Object, ObjectKind, ReadOutcome, WriteOutcome};

/// A store of versioned objects with conditional writes. It makes no decisions.
pub trait DutyStore: Clone + 'static {
    /// Reads an object.
    fn read(&self, kind: ObjectKind, name: &str) -> impl Future<Output = ReadOutcome>;

    /// Creates an object without a version, or replaces the version that the object has.
    fn write(&self, object: &Object) -> impl Future<Output = WriteOutcome>;
}
