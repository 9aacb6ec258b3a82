//! A fake of a model engine that batches continuously.

use std::collections::BTreeMap;

use daisychute_core::{Precedence, RequestId, Role, Time};

use super::cache::PrefixCache;
use crate::trace::EngineSpeed;

/// Work that an engine is given.
#[derive(Debug, Clone, Copy)]
pub(super) struct Job {
    pub(super) id: RequestId,
    pub(super) priority: Precedence,
    pub(super) prompt_tokens: u32,
    pub(super) prefix: u32,
    pub(super) prefix_tokens: u32,
    pub(super) output_tokens: u32,
    /// The KV cache of the prompt was imported.
    pub(super) imported: bool,
    /// Only the prompt is computed, with one token.
    pub(super) prefill_only: bool,
}

/// What a step brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    FirstToken { id: RequestId, cached_tokens: u32 },
    Token(RequestId),
    Finished(RequestId),
}

#[derive(Debug, Clone, Copy)]
struct Prompt {
    job: Job,
    // None until the first chunk, when the cache is looked at.
    left: Option<u32>,
    cached: u32,
}

#[derive(Debug, Clone, Copy)]
struct Stream {
    job: Job,
    made: u32,
}

/// A model engine. Only one step is in progress at a time; its caller times it.
#[derive(Debug, Clone)]
pub(super) struct Engine {
    pub(super) role: Role,
    speed: EngineSpeed,
    cache: PrefixCache,
    prompts: BTreeMap<(Precedence, u64), Prompt>,
    seq: u64,
    streams: Vec<Stream>,
    // Keys of the prompts of the step in progress and their chunks.
    chunks: Vec<((Precedence, u64), u32)>,
    // Streams that take part in the step in progress.
    batch: usize,
    pub(super) stepping: bool,
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
            batch: 0,
            stepping: false,
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
            self.streams.push(Stream { job, made: 0 });
            return;
        }
        self.seq += 1;
        self.prompts.insert((job.priority, self.seq), Prompt { job, left: None, cached: 0 });
    }

    /// Begins a step where there is work and none is in progress. Gives its end.
    pub(super) fn begin_step(&mut self, now: Time) -> Option<Time> {
        if self.stepping || self.is_idle() {
            return None;
        }
        let tokens = self.take_chunks();
        self.batch = self.streams.len().min(self.speed.streams as usize);
        let context: u64 = self.streams[..self.batch]
            .iter()
            .map(|it| u64::from(it.job.prompt_tokens + it.made))
            .sum();
        let micros = self.speed.step
            + self.speed.prompt_token * f64::from(tokens)
            + self.speed.stream * self.batch as f64
            + self.speed.context * context as f64 / 1_000.0;
        self.stepping = true;
        Some(Time::from_micros(now.as_micros() + micros as u64))
    }

    /// Ends the step in progress.
    pub(super) fn end_step(&mut self, progress: &mut Vec<Progress>) {
        self.stepping = false;
        self.advance_streams(progress);
        self.advance_prompts(progress);
    }

    fn chunk_limit(&self) -> u32 {
        match self.role {
            Role::Prefill => self.speed.prefill_chunk,
            Role::Mixed | Role::Decode => self.speed.mixed_chunk,
        }
    }

    fn take_chunks(&mut self) -> u32 {
        let limit = self.chunk_limit();
        let mut taken = 0;
        self.chunks.clear();
        for (key, prompt) in &mut self.prompts {
            if taken >= limit {
                break;
            }
            let left = match prompt.left {
                Some(left) => left,
                None => {
                    let hit = self.cache.lookup(prompt.job.prefix).min(prompt.job.prefix_tokens);
                    prompt.cached = hit.min(prompt.job.prompt_tokens - 1);
                    prompt.job.prompt_tokens - prompt.cached
                }
            };
            let chunk = left.min(limit - taken);
            prompt.left = Some(left);
            taken += chunk;
            self.chunks.push((*key, chunk));
        }
        taken
    }

    fn advance_streams(&mut self, progress: &mut Vec<Progress>) {
        let batch = self.batch;
        for stream in &mut self.streams[..batch] {
            stream.made += 1;
            progress.push(Progress::Token(stream.job.id));
            if stream.made >= stream.job.output_tokens {
                progress.push(Progress::Finished(stream.job.id));
            }
        }
        self.streams.retain(|it| it.made < it.job.output_tokens);
    }

    fn advance_prompts(&mut self, progress: &mut Vec<Progress>) {
        for (key, chunk) in std::mem::take(&mut self.chunks) {
            let Some(prompt) = self.prompts.get_mut(&key) else { continue };
            let left = prompt.left.unwrap_or(0) - chunk;
            prompt.left = Some(left);
            if left > 0 {
                continue;
            }
            let Prompt { job, cached, .. } = *prompt;
            self.prompts.remove(&key);
            self.cache.insert(job.prefix, job.prefix_tokens);
            progress.push(Progress::FirstToken { id: job.id, cached_tokens: cached });
            if job.prefill_only || job.output_tokens <= 1 {
                progress.push(Progress::Finished(job.id));
            } else {
                self.streams.push(Stream { job, made: 1 });
            }
        }
    }
}
