//! One request inside the engine.

use std::cell::Cell;

use daisychute_core::FinishReason;
use tokio::sync::Notify;

use super::completion::Call;
use super::text;

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    Waiting,
    Running,
    Finished(FinishReason),
    Cancelled,
    /// Ended by a change or a crash of the engine.
    Cut,
}

/// What a request asks of the engine.
#[derive(Debug, Clone)]
pub(super) struct Job {
    pub(super) id: String,
    pub(super) call: Call,
    pub(super) prompt: String,
    pub(super) priority: i64,
    /// Output tokens that the caller has already; the first one made here has this index.
    pub(super) first_index: u32,
    /// The most output tokens to make.
    pub(super) max_tokens: u32,
    /// Makes the text end by itself at this output index.
    pub(super) natural_end: Option<u32>,
    /// Whether the KV cache of the whole prompt was imported.
    pub(super) imported: bool,
}

/// One request inside the engine.
#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) job: Job,
    pub(super) prompt_tokens: u32,
    phase: Cell<Phase>,
    cached_tokens: Cell<u32>,
    prefill_left: Cell<u32>,
    // Invariant: at most `job.max_tokens`.
    made: Cell<u32>,
    progress: Notify,
}

impl Sequence {
    pub(super) fn new(job: Job) -> Self {
        let emitted = job.first_index;
        let prompt_tokens = text::count_tokens(&job.prompt);
        Self {
            prompt_tokens,
            phase: Cell::new(Phase::Waiting),
            cached_tokens: Cell::new(0),
            prefill_left: Cell::new(prompt_tokens + emitted),
            made: Cell::new(0),
            progress: Notify::new(),
            job,
        }
    }

    pub(super) fn phase(&self) -> Phase {
        self.phase.get()
    }

    pub(super) fn has_ended(&self) -> bool {
        !matches!(self.phase.get(), Phase::Waiting | Phase::Running)
    }

    /// Ends it, unless it has ended.
    pub(super) fn end(&self, phase: Phase) {
        if !self.has_ended() {
            self.phase.set(phase);
            self.progress.notify_waiters();
        }
    }

    /// Forgets an end, so that no reader takes an answer for whole.
    pub(super) fn lose(&self) {
        self.phase.set(Phase::Cut);
        self.progress.notify_waiters();
    }

    pub(super) fn cached_tokens(&self) -> u32 {
        self.cached_tokens.get()
    }

    pub(super) fn prefill_left(&self) -> u32 {
        self.prefill_left.get()
    }

    /// Output tokens made here.
    pub(super) fn made(&self) -> u32 {
        self.made.get()
    }

    /// KV tokens that it may come to hold.
    pub(super) fn kv_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_add(self.job.first_index).saturating_add(self.job.max_tokens)
    }

    /// Puts it into the batch with so many prompt tokens already computed.
    pub(super) fn start(&self, cached: u32) {
        let cached = cached.min(self.prompt_tokens);
        self.phase.set(Phase::Running);
        self.cached_tokens.set(cached);
        self.prefill_left.update(|it| it - cached);
    }

    /// Computes up to `budget` prompt tokens and returns how many.
    pub(super) fn prefill(&self, budget: u32) -> u32 {
        let done = budget.min(self.prefill_left.get());
        self.prefill_left.update(|it| it - done);
        done
    }

    /// Makes the next output token and ends where it was the last.
    pub(super) fn make_token(&self) {
        if self.made.get() < self.limit() {
            self.made.update(|it| it + 1);
        }
        match self.finish_reason() {
            Some(reason) => self.end(Phase::Finished(reason)),
            None => self.progress.notify_waiters(),
        }
    }

    /// The text of the output token number `index` made here.
    pub(super) fn token(&self, index: u32) -> String {
        text::output_token(&self.job.prompt, self.job.first_index + index)
    }

    /// The text of all output tokens made here.
    pub(super) fn text(&self) -> String {
        (0..self.made.get()).map(|index| self.token(index)).collect()
    }

    /// Waits for another token or the end. Take it before looking at the state.
    pub(super) fn progress(&self) -> impl Future<Output = ()> {
        self.progress.notified()
    }

    fn limit(&self) -> u32 {
        let natural = self.job.natural_end.map(|it| it.saturating_sub(self.job.first_index));
        natural.map_or(self.job.max_tokens, |it| it.min(self.job.max_tokens))
    }

    fn finish_reason(&self) -> Option<FinishReason> {
        if self.made.get() < self.limit() {
            return None;
        }
        let index = self.job.first_index + self.made.get();
        let natural = self.job.natural_end.is_some_and(|end| index >= end);
        Some(if natural { FinishReason::Stop } else { FinishReason::Length })
    }
}
