//! Requests that can be resumed, cancelled or exported.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use super::sequence::Sequence;

/// The waiting and running requests and the last ended ones, by id.
#[derive(Debug)]
pub(super) struct Requests {
    /// Number of requests above which ended ones are dropped.
    capacity: usize,
    by_id: BTreeMap<String, Rc<Sequence>>,
    /// Ids in order of arrival.
    arrivals: VecDeque<String>,
}

impl Requests {
    pub(super) fn new(capacity: usize) -> Self {
        Self { capacity, by_id: BTreeMap::new(), arrivals: VecDeque::new() }
    }

    pub(super) fn insert(&mut self, sequence: Rc<Sequence>) {
        let id = sequence.job.id.clone();
        if self.by_id.insert(id.clone(), sequence).is_none() {
            self.arrivals.push_back(id);
        }
        self.trim();
    }

    pub(super) fn get(&self, id: &str) -> Option<Rc<Sequence>> {
        self.by_id.get(id).cloned()
    }

    pub(super) fn remove(&mut self, id: &str) {
        self.by_id.remove(id);
        self.arrivals.retain(|it| it != id);
    }

    /// Removes all requests and returns those that hadn't ended.
    pub(super) fn clear(&mut self) -> Vec<Rc<Sequence>> {
        self.arrivals.clear();
        let all = std::mem::take(&mut self.by_id);
        all.into_values().filter(|it| !it.has_ended()).collect()
    }

    fn trim(&mut self) {
        while self.arrivals.len() > self.capacity {
            let ended = self.arrivals.iter().position(|id| self.by_id[id].has_ended());
            let Some(id) = ended.and_then(|it| self.arrivals.remove(it)) else { return };
            self.by_id.remove(&id);
        }
    }
}
