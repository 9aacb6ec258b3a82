//! Continuous batching: which sequences run and what one step does.

use std::collections::BTreeMap;
use std::rc::Rc;

use super::sequence::{Phase, Sequence};

/// What bounds the batch.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limits {
    pub(super) max_batch: usize,
    pub(super) prefill_chunk: u32,
    pub(super) kv_tokens: u32,
}

/// What one step computes.
#[derive(Debug, Clone, Default)]
pub(super) struct Step {
    pub(super) prefill_tokens: u32,
    /// The sequences that make a token.
    decoding: Vec<Rc<Sequence>>,
    pub(super) running: u32,
}

/// The waiting and the running sequences.
#[derive(Debug)]
pub(super) struct Batch {
    limits: Limits,
    arrivals: u64,
    /// By priority, then by arrival.
    waiting: BTreeMap<(i64, u64), Rc<Sequence>>,
    // Invariant: their KV tokens together are at most `limits.kv_tokens`.
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

    /// Takes the first waiting sequence if there is room for it in the batch.
    pub(super) fn admit(&mut self) -> Option<Rc<Sequence>> {
        self.drop_ended();
        if self.running.len() >= self.limits.max_batch {
            return None;
        }
        let first = self.waiting.first_entry()?;
        let needed = first.get().kv_tokens();
        let used: u32 = self.running.iter().map(|it| it.kv_tokens()).sum();
        if used + needed > self.limits.kv_tokens {
            return None;
        }
        let sequence = first.remove();
        self.running.push(Rc::clone(&sequence));
        Some(sequence)
    }

    /// What the next step computes: none while nothing runs.
    pub(super) fn plan(&self) -> Option<Step> {
        if self.running.is_empty() {
            return None;
        }
        let mut step = Step { running: self.running_count(), ..Step::default() };
        for sequence in &self.running {
            let budget = self.limits.prefill_chunk - step.prefill_tokens;
            step.prefill_tokens += sequence.prefill(budget);
            if sequence.prefill_left() == 0 {
                step.decoding.push(Rc::clone(sequence));
            }
        }
        Some(step)
    }

    /// Drops the sequences that have ended.
    pub(super) fn drop_ended(&mut self) {
        self.waiting.retain(|_, it| !it.has_ended());
        self.running.retain(|it| !it.has_ended());
    }

    /// Cuts every sequence.
    pub(super) fn cut_all(&mut self) {
        self.waiting.values().chain(&self.running).for_each(|it| it.end(Phase::Cut));
        self.drop_ended();
    }

    pub(super) fn running_count(&self) -> u32 {
        count(self.running.iter())
    }

    pub(super) fn waiting_count(&self) -> u32 {
        count(self.waiting.values())
    }

    pub(super) fn prompt_tokens_waiting(&self) -> u32 {
        self.waiting.values().chain(&self.running).map(|it| it.prefill_left()).sum()
    }

    pub(super) fn kv_free_tokens(&self) -> u32 {
        let used: u32 = self.running.iter().map(|it| it.kv_tokens()).sum();
        self.limits.kv_tokens - used
    }
}

impl Step {
    /// Makes the tokens of the step and returns the sequences that made one.
    pub(super) fn finish(self) -> Vec<Rc<Sequence>> {
        let alive = self.decoding.into_iter().filter(|it| !it.has_ended());
        let alive: Vec<_> = alive.collect();
        alive.iter().for_each(|it| it.make_token());
        alive
    }
}

fn count<'a>(sequences: impl Iterator<Item = &'a Rc<Sequence>>) -> u32 {
    u32::try_from(sequences.filter(|it| !it.has_ended()).count()).unwrap_or(u32::MAX)
}
