//! Continuous batching: admits sequences to the batch and plans its steps.

use std::collections::BTreeMap;
use std::rc::Rc;

use super::sequence::{Phase, Sequence};

/// Capacity of the batch. See [`EngineConfig`](super::EngineConfig) for the fields.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limits {
    pub(super) max_batch: usize,
    pub(super) prefill_chunk: u32,
    pub(super) kv_tokens: u32,
}

/// Work of one step.
#[derive(Debug, Clone, Default)]
pub(super) struct Step {
    /// Number of prompt tokens that the step prefills.
    pub(super) prefill_tokens: u32,
    /// Sequences that generate a token in this step.
    decoding: Vec<Rc<Sequence>>,
    /// Number of sequences in the batch.
    pub(super) running: u32,
}

/// Sequences that wait for the batch or run in it.
#[derive(Debug)]
pub(super) struct Batch {
    limits: Limits,
    arrivals: u64,
    /// Keyed by priority, smallest first, then by order of arrival.
    waiting: BTreeMap<(i64, u64), Rc<Sequence>>,
    // Invariant: the sum of their KV tokens is at most `limits.kv_tokens`.
    running: Vec<Rc<Sequence>>,
}

impl Batch {
    pub(super) fn new(limits: Limits) -> Self {
        Self { limits, arrivals: 0, waiting: BTreeMap::new(), running: Vec::new() }
    }

    pub(super) fn push(&mut self, sequence: Rc<Sequence>) {
        let key = (sequence.job.priority, self.arrivals);
        self.arrivals += 1;
        self.waiting.insert(key, sequence);
    }

    /// Moves the first waiting sequence into the batch if it fits. Later ones never overtake it.
    pub(super) fn admit(&mut self) -> Option<Rc<Sequence>> {
        self.drop_ended();
        if self.running.len() >= self.limits.max_batch {
            return None;
        }
        let first = self.waiting.first_entry()?;
        let required = first.get().kv_tokens();
        let used: u32 = self.running.iter().map(|it| it.kv_tokens()).sum();
        if used + required > self.limits.kv_tokens {
            return None;
        }
        let sequence = first.remove();
        self.running.push(Rc::clone(&sequence));
        Some(sequence)
    }

    /// Prefills up to one chunk and returns the work of the next step; `None` if no sequence runs.
    pub(super) fn plan(&self) -> Option<Step> {
        if self.running.is_empty() {
            return None;
        }
        let mut step = Step { running: self.running_count(), ..Step::default() };
        for sequence in &self.running {
            let budget = self.limits.prefill_chunk - step.prefill_tokens;
            step.prefill_tokens += sequence.prefill(budget);
            if sequence.remaining_prefill() == 0 {
                step.decoding.push(Rc::clone(sequence));
            }
        }
        Some(step)
    }

    /// Removes the sequences that have ended.
    pub(super) fn drop_ended(&mut self) {
        self.waiting.retain(|_, it| !it.has_ended());
        self.running.retain(|it| !it.has_ended());
    }

    /// Aborts every sequence.
    pub(super) fn abort_all(&mut self) {
        self.waiting.values().chain(&self.running).for_each(|it| it.end(Phase::Aborted));
        self.drop_ended();
    }

    pub(super) fn running_count(&self) -> u32 {
        count(self.running.iter())
    }

    pub(super) fn waiting_count(&self) -> u32 {
        count(self.waiting.values())
    }

    pub(super) fn prompt_tokens_waiting(&self) -> u32 {
        self.waiting.values().chain(&self.running).map(|it| it.remaining_prefill()).sum()
    }

    pub(super) fn kv_free_tokens(&self) -> u32 {
        let used: u32 = self.running.iter().map(|it| it.kv_tokens()).sum();
        self.limits.kv_tokens - used
    }
}

impl Step {
    /// Generates the tokens of the step. Returns the sequences that generated one.
    pub(super) fn finish(self) -> Vec<Rc<Sequence>> {
        let active = self.decoding.into_iter().filter(|it| !it.has_ended());
        let active: Vec<_> = active.collect();
        active.iter().for_each(|it| it.generate_token());
        active
    }
}

fn count<'a>(sequences: impl Iterator<Item = &'a Rc<Sequence>>) -> u32 {
    u32::try_from(sequences.filter(|it| !it.has_ended()).count()).unwrap_or(u32::MAX)
}
