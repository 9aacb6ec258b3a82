//! The requests that can still be resumed, cancelled or exported.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use super::sequence::Sequence;

/// The running requests and the last ended ones, by id.
#[derive(Debug)]
pub(super) struct Requests {
    kept: usize,
    by_id: BTreeMap<String, Rc<Sequence>>,
    /// Ids in the order of arrival.
    order: VecDeque<String>,
}

impl Requests {
    pub(super) fn new(kept: usize) -> Self {
        Self { kept, by_id: BTreeMap::new(), order: VecDeque::new() }
    }

    pub(super) fn insert(&mut self, sequence: Rc<Sequence>) {
        let id = sequence.job.id.clone();
        if self.by_id.insert(id.clone(), sequence).is_none() {
            self.order.push_back(id);
        }
        self.trim();
    }

    pub(super) fn get(&self, id: &str) -> Option<Rc<Sequence>> {
        self.by_id.get(id).cloned()
    }

    pub(super) fn remove(&mut self, id: &str) {
        self.by_id.remove(id);
        self.order.retain(|it| it != id);
    }

    /// Forgets all and returns those that had not ended.
    pub(super) fn clear(&mut self) -> Vec<Rc<Sequence>> {
        self.order.clear();
        let all = std::mem::take(&mut self.by_id);
        all.into_values().filter(|it| !it.has_ended()).collect()
    }

    fn trim(&mut self) {
        while self.order.len() > self.kept {
            let ended = self.order.iter().position(|id| self.by_id[id].has_ended());
            let Some(id) = ended.and_then(|it| self.order.remove(it)) else { return };
            self.by_id.remove(&id);
        }
    }
}
