//! The way of a completion request into the batch.

use std::rc::Rc;

use super::completion::{BadCompletion, Completion};
use super::seen::Continuation;
use super::sequence::{Job, Phase, Sequence};
use super::state::{Memory, State};

impl State {
    /// Puts a request among the waiting ones.
    pub(super) fn submit(&self, asked: Completion) -> Result<Rc<Sequence>, BadCompletion> {
        let mut memory = self.memory.borrow_mut();
        asked.check_model(&memory.target)?;
        let job = self.job(&memory, asked);
        let sequence = Rc::new(Sequence::new(job));
        if sequence.kv_tokens() > self.config.kv_tokens {
            return Err(BadCompletion::TooLong);
        }
        memory.requests.insert(Rc::clone(&sequence));
        memory.batch.push(Rc::clone(&sequence));
        memory.sample_load();
        self.work.notify_waiters();
        Ok(sequence)
    }

    fn job(&self, memory: &Memory, asked: Completion) -> Job {
        let imported = match &asked.kv_handle {
            Some(handle) => self.find_import(memory, handle, &asked.prompt),
            None => false,
        };
        let id = asked.request_id.unwrap_or_else(|| self.next_id());
        if let Some(from) = asked.first_index {
            let target = memory.target.clone();
            let continuation = Continuation { id: id.clone(), from, target };
            self.seen.borrow_mut().continuations.push(continuation);
        }
        Job {
            id,
            call: asked.call,
            prompt: asked.prompt,
            priority: asked.priority,
            first_index: asked.first_index.unwrap_or_default(),
            max_tokens: asked.max_tokens,
            natural_end: self.config.natural_tokens,
            imported,
        }
    }

    fn find_import(&self, memory: &Memory, handle: &str, prompt: &str) -> bool {
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

    /// Cancels a request; nothing happens if it is not there or has ended.
    pub(super) fn cancel(&self, id: &str) {
        let mut memory = self.memory.borrow_mut();
        let Some(sequence) = memory.requests.get(id).filter(|it| !it.has_ended()) else { return };
        sequence.end(Phase::Cancelled);
        memory.batch.drop_ended();
        memory.sample_load();
        self.seen.borrow_mut().cancelled.push(id.to_owned());
    }

    /// Loses a request, so that it can't be resumed.
    pub(super) fn lose(&self, sequence: &Sequence) {
        sequence.lose();
        let mut memory = self.memory.borrow_mut();
        memory.requests.remove(&sequence.job.id);
        memory.batch.drop_ended();
        self.seen.borrow_mut().cut.push(sequence.job.id.clone());
    }
}
