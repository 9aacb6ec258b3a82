//! The step loop.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

use super::batch::Step;
use super::cache::{BLOCK_TOKENS, prompt_blocks};
use super::events::CacheEventType;
use super::sequence::{Phase, Sequence};
use super::state::{Memory, State};

/// How far the loop may lag behind before it drops the rest of the lag.
const MAX_LAG: Duration = Duration::from_millis(20);

/// Runs steps for as long as the engine lives.
pub(super) async fn run(state: Rc<State>) {
    let mut due = Instant::now();
    loop {
        let work = state.work.notified();
        let Some(step) = state.next_step() else {
            work.await;
            due = Instant::now();
            continue;
        };
        let now = Instant::now();
        due = due.max(now.checked_sub(MAX_LAG).unwrap_or(now)) + state.step_time(&step);
        wait(due).await;
        state.finish_step(step);
    }
}

/// Waits until `due`. A timer has a resolution of a millisecond, so shorter steps are let run up to it.
async fn wait(due: Instant) {
    if due > Instant::now() {
        sleep_until(due).await;
    } else {
        tokio::task::yield_now().await;
    }
}

impl State {
    fn next_step(&self) -> Option<Step> {
        let mut memory = self.memory.borrow_mut();
        while let Some(sequence) = memory.batch.admit() {
            self.start(&mut memory, &sequence);
        }
        let step = memory.batch.plan();
        memory.sample_load();
        step
    }

    fn start(&self, memory: &mut Memory, sequence: &Sequence) {
        let cached = if sequence.job.imported {
            sequence.prompt_tokens
        } else {
            let hits = memory.cache.hit(&prompt_blocks(&sequence.job.prompt));
            u32::try_from(hits * BLOCK_TOKENS).unwrap_or(u32::MAX)
        };
        sequence.start(cached);
        let mut seen = self.seen.borrow_mut();
        let id = &sequence.job.id;
        seen.started.push(id.clone());
        *seen.executions.entry(id.clone()).or_default() += 1;
        seen.cached_tokens += u64::from(sequence.cached_tokens());
    }

    fn step_time(&self, step: &Step) -> Duration {
        let config = &self.config;
        config.step + config.prefill_token * step.prefill_tokens + config.sequence * step.running
    }

    fn finish_step(&self, step: Step) {
        let prefill_tokens = u64::from(step.prefill_tokens);
        let made = step.finish();
        let mut memory = self.memory.borrow_mut();
        let mut seen = self.seen.borrow_mut();
        seen.prefill_tokens += prefill_tokens;
        for sequence in made {
            seen.output_tokens += 1;
            if sequence.made() <= 1 {
                store_prompt(&mut memory, &sequence);
            }
            if matches!(sequence.phase(), Phase::Finished(_)) {
                seen.finished.push(sequence.job.id.clone());
            }
        }
        memory.batch.drop_ended();
        memory.sample_load();
    }
}

/// Puts the blocks of a computed prompt into the cache.
fn store_prompt(memory: &mut Memory, sequence: &Sequence) {
    let inserted = memory.cache.insert(&prompt_blocks(&sequence.job.prompt));
    memory.events.push(CacheEventType::Stored, inserted.stored);
    memory.events.push(CacheEventType::Evicted, inserted.evicted);
}
