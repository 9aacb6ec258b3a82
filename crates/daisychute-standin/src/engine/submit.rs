//! Queueing and cancelling of completion requests.

use std::rc::Rc;

use super::completion::{Completion, CompletionError};
use super::seen::Continuation;
use super::sequence::{Job, Phase, Sequence};
use super::state::{Memory, State};

impl State {
    /// Queues a request for the batch.
    pub(super) fn submit(&self, completion: Completion) -> Result<Rc<Sequence>, CompletionError> {
        let mut memory = self.memory.borrow_mut();
        completion.check_model(&memory.target)?;
        let job = self.job(&memory, completion);
        let sequence = Rc::new(Sequence::new(job));
        if sequence.kv_tokens() > self.config.kv_tokens {
            return Err(CompletionError::TooLong);
        }
        memory.requests.insert(Rc::clone(&sequence));
        memory.batch.push(Rc::clone(&sequence));
        memory.sample_load();
        self.request_arrived.notify_waiters();
        Ok(sequence)
    }

    fn job(&self, memory: &Memory, completion: Completion) -> Job {
        let imported = match &completion.kv_handle {
            Some(handle) => self.has_import(memory, handle, &completion.prompt),
            None => false,
        };
        let id = completion.request_id.unwrap_or_else(|| self.next_id());
        if let Some(from) = completion.first_index {
            let target = memory.target.clone();
            let continuation = Continuation { id: id.clone(), from, target };
            self.seen.borrow_mut().continuations.push(continuation);
        }
        Job {
            id,
            api: completion.api,
            prompt: completion.prompt,
            priority: completion.priority,
            first_index: completion.first_index.unwrap_or_default(),
            max_tokens: completion.max_tokens,
            natural_end: self.config.natural_tokens,
            imported,
        }
    }

    /// Returns whether the KV cache of this prompt was imported. Counts a miss.
    fn has_import(&self, memory: &Memory, handle: &str, prompt: &str) -> bool {
        let found = memory.kv.has_imported(handle, prompt);
        if !found {
            self.seen.borrow_mut().kv_misses += 1;
        }
        found
    }

    fn next_id(&self) -> String {
        self.anonymous.update(|it| it + 1);
        format!("anonymous-{}", self.anonymous.get())
    }

    /// Cancels a request, unless it is unknown or has ended.
    pub(super) fn cancel(&self, id: &str) {
        let mut memory = self.memory.borrow_mut();
        let Some(sequence) = memory.requests.get(id).filter(|it| !it.has_ended()) else { return };
        sequence.end(Phase::Cancelled);
        memory.batch.drop_ended();
        memory.sample_load();
        self.seen.borrow_mut().cancelled.push(id.to_owned());
    }

    /// Discards a request, so that it can't be resumed.
    pub(super) fn discard(&self, sequence: &Sequence) {
        sequence.discard();
        let mut memory = self.memory.borrow_mut();
        memory.requests.remove(&sequence.job.id);
        memory.batch.drop_ended();
        self.seen.borrow_mut().cut.push(sequence.job.id.clone());
    }
}
