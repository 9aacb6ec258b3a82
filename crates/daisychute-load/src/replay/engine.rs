//! A simulated model engine with continuous batching and chunked prefill.

use std::collections::BTreeMap;

use daisychute_core::{Precedence, RequestId, Role, Time};

use super::cache::PrefixCache;
use crate::trace::EngineSpeed;

/// A request, or one phase of it, as the engine runs it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Job {
    pub(super) id: RequestId,
    /// Prompts are prefilled in this order, and in order of arrival within one precedence.
    pub(super) priority: Precedence,
    pub(super) prompt_tokens: u32,
    /// Shared prefix that the prompt begins with, the key in the prefix cache.
    pub(super) prefix: u32,
    pub(super) prefix_tokens: u32,
    pub(super) output_tokens: u32,
    /// Whether the KV cache of the prompt was transferred from a prefill engine, so that the job only decodes.
    pub(super) imported: bool,
    /// Whether the job ends with its first token and is decoded elsewhere.
    pub(super) prefill_only: bool,
}

/// A result of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    FirstToken { id: RequestId, cached_tokens: u32 },
    Token(RequestId),
    Finished(RequestId),
}

/// A job whose prefill isn't done.
#[derive(Debug, Clone, Copy)]
struct Prompt {
    job: Job,
    // Uncached tokens still to prefill; `None` until the first chunk, when the cache is looked up.
    remaining: Option<u32>,
    cached: u32,
}

/// A job that is decoding.
#[derive(Debug, Clone, Copy)]
struct Stream {
    job: Job,
    // Output tokens so far.
    generated: u32,
}

/// A model engine. It runs one step at a time; the caller ends the step at the time that `begin_step` returned.
#[derive(Debug, Clone)]
pub(super) struct Engine {
    pub(super) role: Role,
    speed: EngineSpeed,
    cache: PrefixCache,
    prompts: BTreeMap<(Precedence, u64), Prompt>,
    seq: u64,
    streams: Vec<Stream>,
    // Prompts of the step in progress by key, with the tokens that the step prefills of each.
    chunks: Vec<((Precedence, u64), u32)>,
    // Number of streams, from the front of `streams`, that get a token in the step in progress.
    batch_size: usize,
    pub(super) step_in_progress: bool,
}

impl Engine {
    pub(super) fn new(role: Role, speed: EngineSpeed) -> Self {
        Self {
            role,
            speed,
            cache: PrefixCache::new(speed.cache_tokens),
            prompts: BTreeMap::new(),
            seq: 0,
            streams: Vec::new(),
            chunks: Vec::new(),
            batch_size: 0,
            step_in_progress: false,
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.prompts.is_empty() && self.streams.is_empty()
    }

    pub(super) fn cached_tokens(&self) -> u32 {
        self.cache.used()
    }

    pub(super) fn submit(&mut self, job: Job) {
        if job.imported {
            self.streams.push(Stream { job, generated: 0 });
            return;
        }
        self.seq += 1;
        self.prompts.insert((job.priority, self.seq), Prompt { job, remaining: None, cached: 0 });
    }

    /// Begins a step and returns when it ends; `None` if there is no work or a step is in progress.
    pub(super) fn begin_step(&mut self, now: Time) -> Option<Time> {
        if self.step_in_progress || self.is_idle() {
            return None;
        }
        let tokens = self.take_chunks();
        self.batch_size = self.streams.len().min(self.speed.streams as usize);
        let context: u64 = self.streams[..self.batch_size]
            .iter()
            .map(|it| u64::from(it.job.prompt_tokens + it.generated))
            .sum();
        let micros = self.speed.step
            + self.speed.prompt_token * f64::from(tokens)
            + self.speed.stream * self.batch_size as f64
            + self.speed.context * context as f64 / 1_000.0;
        self.step_in_progress = true;
        Some(Time::from_micros(now.as_micros() + micros as u64))
    }

    /// Ends the step in progress and appends its results.
    pub(super) fn end_step(&mut self, progress: &mut Vec<Progress>) {
        self.step_in_progress = false;
        self.advance_streams(progress);
        self.advance_prompts(progress);
    }

    /// Maximum prompt tokens in one step.
    fn chunk_limit(&self) -> u32 {
        match self.role {
            Role::Prefill => self.speed.prefill_chunk,
            Role::Mixed | Role::Decode => self.speed.mixed_chunk,
        }
    }

    /// Chooses the prompt chunks of the next step and returns their tokens.
    fn take_chunks(&mut self) -> u32 {
        let limit = self.chunk_limit();
        let mut taken = 0;
        self.chunks.clear();
        for (key, prompt) in &mut self.prompts {
            if taken >= limit {
                break;
            }
            let remaining = match prompt.remaining {
                Some(remaining) => remaining,
                None => {
                    let cached = self.cache.lookup(prompt.job.prefix).min(prompt.job.prefix_tokens);
                    prompt.cached = cached.min(prompt.job.prompt_tokens - 1);
                    prompt.job.prompt_tokens - prompt.cached
                }
            };
            let chunk = remaining.min(limit - taken);
            prompt.remaining = Some(remaining);
            taken += chunk;
            self.chunks.push((*key, chunk));
        }
        taken
    }

    fn advance_streams(&mut self, progress: &mut Vec<Progress>) {
        let batch_size = self.batch_size;
        for stream in &mut self.streams[..batch_size] {
            stream.generated += 1;
            progress.push(Progress::Token(stream.job.id));
            if stream.generated >= stream.job.output_tokens {
                progress.push(Progress::Finished(stream.job.id));
            }
        }
        self.streams.retain(|it| it.generated < it.job.output_tokens);
    }

    fn advance_prompts(&mut self, progress: &mut Vec<Progress>) {
        for (key, chunk) in std::mem::take(&mut self.chunks) {
            let Some(prompt) = self.prompts.get_mut(&key) else { continue };
            let remaining = prompt.remaining.unwrap_or(0) - chunk;
            prompt.remaining = Some(remaining);
            if remaining > 0 {
                continue;
            }
            let Prompt { job, cached, .. } = *prompt;
            self.prompts.remove(&key);
            self.cache.insert(job.prefix, job.prefix_tokens);
            progress.push(Progress::FirstToken { id: job.id, cached_tokens: cached });
            if job.prefill_only || job.output_tokens <= 1 {
                progress.push(Progress::Finished(job.id));
            } else {
                self.streams.push(Stream { job, generated: 1 });
            }
        }
    }
}
