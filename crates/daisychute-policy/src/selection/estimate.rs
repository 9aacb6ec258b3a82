//! The estimates that candidates are compared by.

use std::time::Duration;

use daisychute_core::{DataCentreName, Role, Time};

use super::endpoint_entry::{EndpointEntry, Stage};
use super::pipeline::Pipeline;
use super::selection_query::SelectionQuery;
use super::selector::Selector;
use crate::prefix::BLOCK_TOKENS;

impl Selector {
    /// Rate of a KV cache transfer within a data centre, in tokens per second.
    const TRANSFER_TOKENS_PER_SECOND: f64 = 50_000.0;
    /// Rate of a KV cache transfer between data centres, in tokens per second.
    const CROSS_DC_TRANSFER_TOKENS_PER_SECOND: f64 = 10_000.0;
    /// Fixed time between the end of the prefill on one engine and the first decode step on another, on top of the
    /// transfer of the KV cache.
    const KV_TRANSFER_OVERHEAD: Duration = Duration::from_millis(5);
    /// Amount that each stream of a decode engine adds to its decode cost.
    const DECODE_STREAM_COST: Duration = Duration::from_millis(4);
    /// Amount that each queued request of a decode engine adds to the decode cost of a deferrable request, which
    /// starts after all of them.
    const DEFERRABLE_QUEUE_COST: Duration = Duration::from_millis(50);
    /// Decode cost if no engine decodes the model.
    const NO_DECODE_ENGINE: Duration = Duration::from_secs(3_600);
    /// Penalty of disaggregated serving for deferrable requests: they wait up to this much longer for an engine of
    /// mixed role before they use engines that urgent requests need.
    const DEFERRABLE_DISAGGREGATION_PENALTY: Duration = Duration::from_secs(5);
    /// Penalty of an engine of mixed role for urgent requests: they wait up to this much longer for disaggregated
    /// serving, because prefills on the same engine raise their inter-token latency.
    const MIXED_ENGINE_PENALTY: Duration = Duration::from_secs(60);
    /// Amount that each running stream adds to an estimate, to rank endpoints with equal queues.
    const STREAM_COST: Duration = Duration::from_micros(500);

    /// Estimated time to first token (TTFT), plus the penalties that rank candidates beyond it.
    pub(super) fn estimate(
        &self,
        now: Time,
        query: &SelectionQuery<'_>,
        stage: Stage,
        index: usize,
    ) -> Duration {
        let entry = &self.endpoints[index];
        let cached = self.cached_tokens(index, query);
        let uncached = u64::from(query.prompt_tokens - cached);
        let unreported_prefill =
            entry.prompt_token().mul_f64(entry.recent_sends.prompt_tokens() as f64);
        let streams = Self::STREAM_COST * (entry.report.running + entry.recent_sends.count());
        let base = entry.candidate.distance * 2
            + entry.report.wait
            + unreported_prefill
            + streams
            + entry.health.slow_start_penalty(now);
        let prefill = entry.prompt_token().mul_f64(uncached as f64);
        match stage {
            Stage::Whole => base + prefill + mixed_engine_penalty(query),
            Stage::Prefill => base + prefill + self.kv_transfer_cost(query, index),
            Stage::Decode => base,
        }
    }

    /// Cost of disaggregated serving: the KV cache transfer, the wait for a decode engine, and the penalty for
    /// deferrable requests.
    pub(super) fn kv_transfer_cost(&self, query: &SelectionQuery<'_>, index: usize) -> Duration {
        let wait = self.decode_wait(query, index);
        match query.between_tokens {
            Some(_) => Self::KV_TRANSFER_OVERHEAD + wait,
            None => Self::KV_TRANSFER_OVERHEAD + wait + Self::DEFERRABLE_DISAGGREGATION_PENALTY,
        }
    }

    /// Expected wait between prefill and decode, including requests that are still on their way to the decode
    /// engines.
    pub(super) fn expected_kv_transfer_wait(
        &self,
        query: &SelectionQuery<'_>,
        index: usize,
    ) -> Duration {
        let current_wait = self.decode_wait(query, index);
        let Some(target) = query.between_tokens else { return current_wait };
        let mut pipeline = Pipeline::default();
        let is_counted =
            |it: &&EndpointEntry| it.candidate.live && it.candidate.model.as_ref() == query.model;
        for entry in self.endpoints.iter().filter(is_counted) {
            let prefill_time = entry.prompt_token().mul_f64(f64::from(query.prompt_tokens));
            pipeline.add(entry.candidate.role, &entry.report, prefill_time, target);
        }
        current_wait.max(pipeline.wait())
    }

    /// Shortest expected time until a decode engine continues a request that the endpoint at `index` prefilled.
    pub(super) fn decode_wait(&self, query: &SelectionQuery<'_>, index: usize) -> Duration {
        let data_centre = &self.endpoints[index].candidate.data_centre;
        let decode_engines = self
            .endpoints
            .iter()
            .filter(|it| it.candidate.role == Role::Decode && it.serves(query, Stage::Decode));
        let costs = decode_engines.map(|it| self.decode_cost(query, data_centre, it));
        costs.min().unwrap_or(Self::NO_DECODE_ENGINE)
    }

    /// Expected time until this engine continues a request that was prefilled in the data centre `from`, plus the
    /// costs that rank engines with equal queues.
    pub(super) fn decode_cost(
        &self,
        query: &SelectionQuery<'_>,
        from: &DataCentreName,
        entry: &EndpointEntry,
    ) -> Duration {
        let queue_cost = match query.between_tokens {
            Some(_) => Duration::ZERO,
            None => Self::DEFERRABLE_QUEUE_COST * entry.report.queued,
        };
        let rate = if entry.candidate.data_centre == *from {
            Self::TRANSFER_TOKENS_PER_SECOND
        } else {
            Self::CROSS_DC_TRANSFER_TOKENS_PER_SECOND
        };
        let streams =
            Self::DECODE_STREAM_COST * (entry.report.running + entry.recent_sends.count());
        let transfer = Duration::from_secs_f64(f64::from(query.prompt_tokens) / rate);
        entry.report.wait + queue_cost + streams + transfer
    }

    /// Prompt tokens that are expected to be in the prefix cache of the endpoint at `index`.
    pub(super) fn cached_tokens(&self, index: usize, query: &SelectionQuery<'_>) -> u32 {
        let blocks = self.endpoints[index].cached_blocks.leading(query.blocks);
        // Engines always prefill the last token of a prompt.
        (blocks * BLOCK_TOKENS).min(query.prompt_tokens.saturating_sub(1))
    }
}

fn mixed_engine_penalty(query: &SelectionQuery<'_>) -> Duration {
    match query.between_tokens {
        Some(_) => Selector::MIXED_ENGINE_PENALTY,
        None => Duration::ZERO,
    }
}
