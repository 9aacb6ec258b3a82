//! The step loop of the engine.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

use super::batch::Step;
use super::cache::{BLOCK_TOKENS, prompt_blocks};
use super::events::CacheEventType;
use super::sequence::{Phase, Sequence};
use super::state::{Memory, State};

/// How far behind schedule the loop may be and still catch up; any further delay is dropped.
const MAX_LAG: Duration = Duration::from_millis(20);

/// Runs steps forever; waits for requests while none is in the batch.
pub(super) async fn run(state: Rc<State>) {
    let mut step_end = Instant::now();
    loop {
        let arrival = state.request_arrived.notified();
        let Some(step) = state.next_step() else {
            arrival.await;
            step_end = Instant::now();
            continue;
        };
        let now = Instant::now();
        step_end = step_end.max(now.checked_sub(MAX_LAG).unwrap_or(now)) + state.step_time(&step);
        wait(step_end).await;
        state.finish_step(step);
        state.crash_if_running();
    }
}

/// Waits until `step_end`. A step that ends in the past only yields: timers have a resolution of one millisecond, so a
/// wait may overrun the end of a short step, and the next steps make up for it.
async fn wait(step_end: Instant) {
    if step_end > Instant::now() {
        sleep_until(step_end).await;
    } else {
        tokio::task::yield_now().await;
    }
}

impl State {
    fn next_step(&self) -> Option<Step> {
        let mut memory = self.memory.borrow_mut();
        while let Some(sequence) = memory.batch.admit() {
            self.start_sequence(&mut memory, &sequence);
        }
        let step = memory.batch.plan();
        memory.sample_load();
        step
    }

    fn start_sequence(&self, memory: &mut Memory, sequence: &Sequence) {
        let cached = if sequence.job.imported {
            sequence.prompt_tokens
        } else {
            let hits = memory.cache.touch_prefix(&prompt_blocks(&sequence.job.prompt));
            u32::try_from(hits * BLOCK_TOKENS).unwrap_or(u32::MAX)
        };
        sequence.start(cached);
        let mut seen = self.seen.borrow_mut();
        let id = &sequence.job.id;
        seen.started.push(id.clone());
        *seen.executions.entry(id.clone()).or_default() += 1;
        seen.cached_tokens += u64::from(sequence.cached_tokens());
    }

    /// Crashes if the fault `crash_running` is set and a request runs.
    fn crash_if_running(&self) {
        if self.memory.borrow().batch.running_count() == 0 {
            return;
        }
        if let Some(crash) = self.with_faults(|it| it.crash_running.take()) {
            self.crash_as(crash);
        }
    }

    fn step_time(&self, step: &Step) -> Duration {
        let config = &self.config;
        config.step + config.prefill_token * step.prefill_tokens + config.sequence * step.running
    }

    fn finish_step(&self, step: Step) {
        let prefill_tokens = u64::from(step.prefill_tokens);
        let advanced = step.finish();
        let mut memory = self.memory.borrow_mut();
        let mut seen = self.seen.borrow_mut();
        seen.prefill_tokens += prefill_tokens;
        for sequence in advanced {
            seen.output_tokens += 1;
            if sequence.generated() <= 1 {
                cache_prompt(&mut memory, &sequence);
            }
            if matches!(sequence.phase(), Phase::Finished(_)) {
                seen.finished.push(sequence.job.id.clone());
            }
        }
        memory.batch.drop_ended();
        memory.sample_load();
    }
}

/// Adds the blocks of a prefilled prompt to the prefix cache and logs the cache events.
fn cache_prompt(memory: &mut Memory, sequence: &Sequence) {
    let inserted = memory.cache.insert(&prompt_blocks(&sequence.job.prompt));
    memory.events.push(CacheEventType::Stored, inserted.stored);
    memory.events.push(CacheEventType::Evicted, inserted.evicted);
}
