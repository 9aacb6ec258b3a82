//! State of one completion request in the engine.

use std::cell::Cell;

use daisychute_core::FinishReason;
use tokio::sync::Notify;

use super::completion::CompletionApi;
use super::text;

/// Progress of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Not in the batch yet.
    Waiting,
    /// In the batch.
    Running,
    Finished(FinishReason),
    Cancelled,
    /// Ended by a change or a crash of the engine, or discarded by a fault.
    Aborted,
}

/// Parameters of a request.
#[derive(Debug, Clone)]
pub(super) struct Job {
    pub(super) id: String,
    pub(super) api: CompletionApi,
    pub(super) prompt: String,
    pub(super) priority: i64,
    /// Number of output tokens that the client has already, which is the index of the first one to generate.
    pub(super) first_index: u32,
    /// Maximum number of output tokens to generate.
    pub(super) max_tokens: u32,
    /// Output index at which the generation ends with `stop`; `None` for never.
    pub(super) natural_end: Option<u32>,
    /// Whether the KV cache of the complete prompt was imported.
    pub(super) imported: bool,
}

/// A request with its progress.
#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) job: Job,
    pub(super) prompt_tokens: u32,
    phase: Cell<Phase>,
    cached_tokens: Cell<u32>,
    /// Prompt tokens, and output tokens of a continued generation, that are pending prefill.
    remaining_prefill: Cell<u32>,
    // Number of output tokens generated here. Invariant: at most `job.max_tokens`.
    generated: Cell<u32>,
    /// Notified at each output token and at the end.
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
            remaining_prefill: Cell::new(prompt_tokens + emitted),
            generated: Cell::new(0),
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

    /// Sets a final phase, unless the request has ended.
    pub(super) fn end(&self, phase: Phase) {
        if !self.has_ended() {
            self.phase.set(phase);
            self.progress.notify_waiters();
        }
    }

    /// Aborts the request even if it has finished, so that no stream reports it as complete.
    pub(super) fn discard(&self) {
        self.phase.set(Phase::Aborted);
        self.progress.notify_waiters();
    }

    pub(super) fn cached_tokens(&self) -> u32 {
        self.cached_tokens.get()
    }

    pub(super) fn remaining_prefill(&self) -> u32 {
        self.remaining_prefill.get()
    }

    /// Number of output tokens generated here.
    pub(super) fn generated(&self) -> u32 {
        self.generated.get()
    }

    /// KV memory that the request needs at most, in tokens.
    pub(super) fn kv_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_add(self.job.first_index).saturating_add(self.job.max_tokens)
    }

    /// Marks the request as running, with `cached` prompt tokens that need no prefill.
    pub(super) fn start(&self, cached: u32) {
        let cached = cached.min(self.prompt_tokens);
        self.phase.set(Phase::Running);
        self.cached_tokens.set(cached);
        self.remaining_prefill.update(|it| it - cached);
    }

    /// Prefills up to `budget` tokens and returns how many.
    pub(super) fn prefill(&self, budget: u32) -> u32 {
        let done = budget.min(self.remaining_prefill.get());
        self.remaining_prefill.update(|it| it - done);
        done
    }

    /// Generates the next output token, and ends the request if it was the last one.
    pub(super) fn generate_token(&self) {
        if self.generated.get() < self.limit() {
            self.generated.update(|it| it + 1);
        }
        match self.finish_reason() {
            Some(reason) => self.end(Phase::Finished(reason)),
            None => self.progress.notify_waiters(),
        }
    }

    /// Text of the output token with this index, counted from the first one generated here.
    pub(super) fn token(&self, index: u32) -> String {
        text::output_token(&self.job.prompt, self.job.first_index + index)
    }

    /// Text of all output tokens generated here.
    pub(super) fn text(&self) -> String {
        (0..self.generated.get()).map(|index| self.token(index)).collect()
    }

    /// Completes at the next token or at the end. Create it before reading the state, so that no change is missed.
    pub(super) fn progress(&self) -> impl Future<Output = ()> {
        self.progress.notified()
    }

    fn limit(&self) -> u32 {
        let natural = self.job.natural_end.map(|it| it.saturating_sub(self.job.first_index));
        natural.map_or(self.job.max_tokens, |it| it.min(self.job.max_tokens))
    }

    fn finish_reason(&self) -> Option<FinishReason> {
        if self.generated.get() < self.limit() {
            return None;
        }
        let index = self.job.first_index + self.generated.get();
        let natural = self.job.natural_end.is_some_and(|end| index >= end);
        Some(if natural { FinishReason::Stop } else { FinishReason::Length })
    }
}
