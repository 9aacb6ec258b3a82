//! Versioned objects and their change log.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use serde::Serialize;

use super::api_error::ApiError;
use super::object::{API_VERSION, Object};

/// Kind of a change of an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub(super) enum ChangeType {
    Added,
    Modified,
    Deleted,
}

/// A change of an object.
#[derive(Debug, Clone)]
pub(super) struct Change {
    pub(super) version: u64,
    pub(super) change_type: ChangeType,
    /// The object after the change, or the last version of a deleted one.
    pub(super) object: Rc<Object>,
}

/// Objects by kind and name, and the last changes of any kind.
#[derive(Debug, Clone, Default)]
pub(super) struct Store {
    // Version of the last change. Invariant: at least the version of every object and change.
    version: u64,
    // Invariant: the version of the last change that was dropped from `log`.
    compacted: u64,
    kinds: BTreeMap<String, BTreeMap<String, Rc<Object>>>,
    log: VecDeque<Change>,
    /// Maximum number of changes in `log`.
    history: usize,
}

impl Store {
    /// Creates an empty store that keeps the last `history` changes.
    pub(super) fn new(history: usize) -> Self {
        Self { history, ..Self::default() }
    }

    /// Version of the last change.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Returns an object.
    pub(super) fn get(&self, kind: &str, name: &str) -> Result<Rc<Object>, ApiError> {
        self.find(kind, name).cloned().ok_or(ApiError::NotFound)
    }

    /// Returns the objects of a kind whose names start with `prefix`.
    pub(super) fn list(&self, kind: &str, prefix: &str) -> Vec<Rc<Object>> {
        let Some(objects) = self.kinds.get(kind) else { return Vec::new() };
        objects.values().filter(|it| it.metadata.name.starts_with(prefix)).cloned().collect()
    }

    /// Stores a new object.
    pub(super) fn create(&mut self, kind: &str, object: Object) -> Result<Rc<Object>, ApiError> {
        if object.metadata.name.is_empty() {
            return Err(ApiError::Invalid);
        }
        if self.find(kind, &object.metadata.name).is_some() {
            return Err(ApiError::AlreadyExists);
        }
        Ok(self.put(kind, object, ChangeType::Added))
    }

    /// Replaces an object if the given one has the current version.
    pub(super) fn replace(&mut self, kind: &str, object: Object) -> Result<Rc<Object>, ApiError> {
        let name = &object.metadata.name;
        self.check_version(kind, name, object.metadata.resource_version)?;
        Ok(self.put(kind, object, ChangeType::Modified))
    }

    /// Creates or replaces an object, regardless of its version.
    pub(super) fn upsert(&mut self, kind: &str, object: Object) -> Rc<Object> {
        let change_type = match self.find(kind, &object.metadata.name) {
            Some(_) => ChangeType::Modified,
            None => ChangeType::Added,
        };
        self.put(kind, object, change_type)
    }

    /// Deletes an object if `version` is its current version.
    pub(super) fn delete(
        &mut self,
        kind: &str,
        name: &str,
        version: u64,
    ) -> Result<Rc<Object>, ApiError> {
        self.check_version(kind, name, version)?;
        self.remove(kind, name).ok_or(ApiError::NotFound)
    }

    /// Deletes an object, regardless of its version.
    pub(super) fn remove(&mut self, kind: &str, name: &str) -> Option<Rc<Object>> {
        let removed = self.kinds.get_mut(kind)?.remove(name)?;
        self.version += 1;
        let mut last = Object::clone(&removed);
        last.metadata.resource_version = self.version;
        let last = Rc::new(last);
        self.record(ChangeType::Deleted, Rc::clone(&last));
        Some(last)
    }

    /// Returns the changes of a kind after `version`.
    pub(super) fn changes(&self, kind: &str, version: u64) -> Result<Vec<Change>, ApiError> {
        if version < self.compacted {
            return Err(ApiError::Expired);
        }
        let first = self.log.partition_point(|it| it.version <= version);
        let later = self.log.range(first..);
        Ok(later.filter(|it| it.object.kind == kind).cloned().collect())
    }

    /// Drops the change log, so that watches from earlier versions are refused as expired.
    pub(super) fn compact(&mut self) {
        self.compacted = self.version;
        self.log.clear();
    }

    fn find(&self, kind: &str, name: &str) -> Option<&Rc<Object>> {
        self.kinds.get(kind)?.get(name)
    }

    fn check_version(&self, kind: &str, name: &str, version: u64) -> Result<(), ApiError> {
        let current = self.find(kind, name).ok_or(ApiError::NotFound)?;
        if current.metadata.resource_version == version { Ok(()) } else { Err(ApiError::Conflict) }
    }

    fn put(&mut self, kind: &str, mut object: Object, change_type: ChangeType) -> Rc<Object> {
        self.version += 1;
        object.metadata.resource_version = self.version;
        object.api_version = API_VERSION.to_owned();
        object.kind = kind.to_owned();
        let object = Rc::new(object);
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        objects.insert(object.metadata.name.clone(), Rc::clone(&object));
        self.record(change_type, Rc::clone(&object));
        object
    }

    fn record(&mut self, change_type: ChangeType, object: Rc<Object>) {
        self.log.push_back(Change { version: self.version, change_type, object });
        while self.log.len() > self.history {
            if let Some(dropped) = self.log.pop_front() {
                self.compacted = dropped.version;
            }
        }
    }
}
