//! Records of ends, by what endpoints ended under.

use std::time::Duration;

use daisychute_core::Time;
use rustc_hash::FxHashMap;

use crate::Cause;
use crate::core::crash_record::CrashRecord;

/// A limited number of records.
#[derive(Debug, Clone)]
pub(crate) struct CrashRecords {
    /// At most `limit` records.
    records: FxHashMap<Cause, CrashRecord>,
    limit: usize,
}

impl CrashRecords {
    pub(crate) fn new(limit: usize) -> Self {
        Self { records: FxHashMap::default(), limit }
    }

    pub(crate) fn get(&self, cause: Cause) -> Option<&CrashRecord> {
        self.records.get(&cause)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (Cause, &CrashRecord)> {
        self.records.iter().map(|(cause, it)| (*cause, it))
    }

    /// Returns the record of a cause, which changes at `now`, and creates it if there is none.
    pub(crate) fn change(&mut self, now: Time, cause: Cause) -> &mut CrashRecord {
        if self.records.len() >= self.limit && !self.records.contains_key(&cause) {
            self.make_room();
        }
        let record = self.records.entry(cause).or_default();
        record.changed_at = now;
        record
    }

    pub(crate) fn remove(&mut self, cause: Cause) {
        self.records.remove(&cause);
    }

    /// Drops the ends of these endpoints.
    pub(crate) fn drop_ends(&mut self, endpoints: &[u64]) {
        for record in self.records.values_mut() {
            record.drop_ends(endpoints);
        }
    }

    /// Drops the ends of these endpoints from all records but that of `cause`.
    pub(crate) fn drop_ends_of_others(&mut self, cause: Cause, endpoints: &[u64]) {
        for (_, record) in self.records.iter_mut().filter(|it| *it.0 != cause) {
            record.drop_ends(endpoints);
        }
    }

    /// Drops the records that haven't changed for `ttl`.
    pub(crate) fn expire(&mut self, now: Time, ttl: Duration) {
        self.records.retain(|_, it| now.since(it.changed_at) < ttl);
    }

    /// Drops the records without ends; if each has some, the oldest one with the fewest.
    fn make_room(&mut self) {
        self.records.retain(|_, it| !it.ends.is_empty());
        if self.records.len() < self.limit {
            return;
        }
        let least = self.iter().min_by_key(|(cause, it)| (it.ends.len(), it.changed_at, *cause));
        if let Some(cause) = least.map(|it| it.0) {
            self.records.remove(&cause);
        }
    }
}
