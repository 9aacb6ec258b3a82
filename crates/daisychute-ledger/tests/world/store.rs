//! A model of the platform's object API.

#![allow(dead_code, unreachable_pub, reason = "each test file uses a part")]

use std::collections::BTreeMap;

use daisychute_ledger::{ProcessId, PutResult, ReadResult, Stored, Version, WriteId};

/// Objects of one kind.
#[derive(Debug)]
pub struct Objects<K, T> {
    objects: BTreeMap<K, Stored<T>>,
    last: u64,
    /// Calls that reached the platform.
    pub calls: u64,
}

impl<K, T> Default for Objects<K, T> {
    fn default() -> Self {
        Self { objects: BTreeMap::new(), last: 0, calls: 0 }
    }
}

impl<K: Ord + Clone, T: Clone> Objects<K, T> {
    pub fn peek(&self, key: &K) -> Option<&Stored<T>> {
        self.objects.get(key)
    }

    pub fn get(&mut self, key: &K) -> ReadResult<T> {
        self.calls += 1;
        self.objects.get(key).cloned().map_or(ReadResult::Absent, ReadResult::Found)
    }

    pub fn keys(&self) -> Vec<K> {
        self.objects.keys().cloned().collect()
    }

    pub fn all(&self) -> Vec<Stored<T>> {
        self.objects.values().cloned().collect()
    }

    pub fn len(&self) -> usize {
        self.objects.len()
    }

    /// Deletes an object, if it has this version.
    pub fn delete(&mut self, key: &K, expect: Option<Version>) {
        self.calls += 1;
        let present = self.objects.get(key).map(|it| it.version);
        if expect.is_none() || expect == present {
            self.objects.remove(key);
        }
    }

    pub fn put(
        &mut self,
        writer: &ProcessId,
        seq: u64,
        key: &K,
        expect: Version,
        body: T,
    ) -> PutResult {
        self.calls += 1;
        let present = self.objects.get(key).map_or(Version::ABSENT, |it| it.version);
        if present != expect {
            return PutResult::Conflict;
        }
        self.last += 1;
        let version = Version::new(self.last);
        let write = WriteId { writer: writer.clone(), seq };
        self.objects.insert(key.clone(), Stored { version, write, body });
        PutResult::Done(version)
    }
}
