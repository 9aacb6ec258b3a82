//! Which agent a call goes to, as an entry sees it.

use crate::{CallKey, KeyOrigin, OwnerId, OwnerTable, Version};

/// Where a non-repeatable call may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Destination<'a> {
    /// To any agent of the service, but to no second one.
    Any,
    /// To this owner only.
    Owner(&'a OwnerId),
    /// Nowhere at present: refuse it as `not_run`.
    Nowhere,
}

/// The newest table of owners that an entry has seen.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SlotMap {
    // Invariant: never replaced by one with a smaller version.
    newest: Option<(Version, OwnerTable)>,
}

impl SlotMap {
    /// Takes a table unless a newer one is known. Returns whether it was taken.
    pub fn adopt(&mut self, version: Version, table: OwnerTable) -> bool {
        if version <= self.version() {
            return false;
        }
        self.newest = Some((version, table));
        true
    }

    /// The version of the newest table.
    #[must_use]
    pub fn version(&self) -> Version {
        self.newest.as_ref().map_or(Version::ABSENT, |(version, _)| *version)
    }

    /// The owners that the newest table names, each as often as it has slots.
    pub fn owners(&self) -> impl Iterator<Item = &OwnerId> {
        let table = self.newest.iter().map(|(_, table)| table);
        table.flat_map(OwnerTable::iter).filter_map(|(_, it)| it.owner.as_ref())
    }

    /// Where a call with this key may be sent.
    ///
    /// An owner that refuses with `not_run` because it no longer owns the slot has the entry read the table anew; the
    /// call may then go to the new owner.
    #[must_use]
    pub fn destination(&self, key: &CallKey) -> Destination<'_> {
        if key.origin() == KeyOrigin::Entry {
            return Destination::Any;
        }
        let Some((_, table)) = &self.newest else { return Destination::Nowhere };
        let owner = table.get(table.slot_of(key)).and_then(|it| it.owner.as_ref());
        owner.map_or(Destination::Nowhere, Destination::Owner)
    }
}
