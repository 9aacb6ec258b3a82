//! Estimates that the choice goes by.

use std::time::Duration;

use daisychute_core::{DataCentreName, Role, Time};

use super::pipeline::Pipeline;
use super::selection_query::SelectionQuery;
use super::selector::Selector;
use super::slot::{Part, Slot};
use crate::prefix::BLOCK_TOKENS;

impl Selector {
    /// KV cache that moves between two engines of a data centre, tokens a second.
    const TRANSFER_TOKENS_PER_SECOND: f64 = 50_000.0;
    /// KV cache that moves between two engines of different data centres, tokens a second.
    const FAR_TRANSFER_TOKENS_PER_SECOND: f64 = 10_000.0;
    /// The time between prefill's end on one engine and the first step on another, beside the transfer.
    const HAND_OVER: Duration = Duration::from_millis(5);
    /// What one stream of a decode engine adds to the estimate of a hand-over to it.
    const DECODE_STREAM_COST: Duration = Duration::from_millis(4);
    /// What each request that waits at a decode engine adds for deferrable work, which comes after it.
    const DEFERRABLE_QUEUED: Duration = Duration::from_millis(50);
    /// The estimate of a hand-over where no engine decodes.
    const NO_DECODE: Duration = Duration::from_secs(3_600);
    /// What deferrable work waits for an engine of mixed role rather than take one that urgent work needs.
    const DEFERRABLE_SPLIT: Duration = Duration::from_secs(5);
    /// What urgent work waits for a split rather than be mixed with prompts that stretch its gaps.
    const MIXING_PENALTY: Duration = Duration::from_secs(60);
    /// What one running stream adds to an estimate, so that equal queues are told apart.
    const STREAM_COST: Duration = Duration::from_micros(500);

    /// The estimated time to the first token, with what tells equal candidates apart.
    pub(super) fn estimate(
        &self,
        now: Time,
        query: &SelectionQuery<'_>,
        part: Part,
        place: usize,
    ) -> Duration {
        let slot = &self.slots[place];
        let cached = self.cached_tokens(place, query);
        let uncached = u64::from(query.prompt_tokens - cached);
        let sent = slot.prompt_token().mul_f64(slot.sends.prompt_tokens() as f64);
        let streams = Self::STREAM_COST * (slot.report.running + slot.sends.count());
        let base = slot.candidate.distance * 2
            + slot.report.wait
            + sent
            + streams
            + slot.health.penalty(now);
        let prompt = slot.prompt_token().mul_f64(uncached as f64);
        match part {
            Part::Whole => base + prompt + mixing_penalty(query),
            Part::Prefill => base + prompt + self.kv_transfer_wait(query, place),
            Part::Decode => base,
        }
    }

    /// What moving the KV cache costs, and the wait for an engine that decodes.
    pub(super) fn kv_transfer_wait(&self, query: &SelectionQuery<'_>, place: usize) -> Duration {
        let wait = self.decode_wait(query, place);
        match query.between_tokens {
            Some(_) => Self::HAND_OVER + wait,
            None => Self::HAND_OVER + wait + Self::DEFERRABLE_SPLIT,
        }
    }

    /// The wait between prefill and decode, with what is under way to the decode engines.
    pub(super) fn expected_kv_transfer_wait(
        &self,
        query: &SelectionQuery<'_>,
        place: usize,
    ) -> Duration {
        let now = self.decode_wait(query, place);
        let Some(target) = query.between_tokens else { return now };
        let mut pipeline = Pipeline::default();
        for slot in self.slots.iter().filter(|it| it.candidate.model.as_ref() == query.model) {
            let prompt = slot.prompt_token().mul_f64(f64::from(query.prompt_tokens));
            pipeline.add(slot.candidate.role, &slot.report, prompt, target);
        }
        now.max(pipeline.wait())
    }

    /// The least time until an engine decodes what `place` prefills.
    pub(super) fn decode_wait(&self, query: &SelectionQuery<'_>, place: usize) -> Duration {
        let data_centre = &self.slots[place].candidate.data_centre;
        let decodes = self
            .slots
            .iter()
            .filter(|it| it.candidate.role == Role::Decode && it.serves(query, Part::Decode));
        let costs = decodes.map(|it| self.decode_cost(query, data_centre, it));
        costs.min().unwrap_or(Self::NO_DECODE)
    }

    /// The time until this engine decodes what an engine of this data centre prefills.
    pub(super) fn decode_cost(
        &self,
        query: &SelectionQuery<'_>,
        from: &DataCentreName,
        slot: &Slot,
    ) -> Duration {
        let queued = match query.between_tokens {
            Some(_) => Duration::ZERO,
            None => Self::DEFERRABLE_QUEUED * slot.report.queued,
        };
        let rate = if slot.candidate.data_centre == *from {
            Self::TRANSFER_TOKENS_PER_SECOND
        } else {
            Self::FAR_TRANSFER_TOKENS_PER_SECOND
        };
        let streams = Self::DECODE_STREAM_COST * (slot.report.running + slot.sends.count());
        let transfer = Duration::from_secs_f64(f64::from(query.prompt_tokens) / rate);
        slot.report.wait + queued + streams + transfer
    }

    pub(super) fn cached_tokens(&self, place: usize, query: &SelectionQuery<'_>) -> u32 {
        let blocks = self.slots[place].hits.leading(query.blocks);
        // The last token of a prompt is always computed.
        (blocks * BLOCK_TOKENS).min(query.prompt_tokens.saturating_sub(1))
    }
}

fn mixing_penalty(query: &SelectionQuery<'_>) -> Duration {
    match query.between_tokens {
        Some(_) => Selector::MIXING_PENALTY,
        None => Duration::ZERO,
    }
}
