//! Endpoint selection by the routing policy.

use std::collections::BTreeSet;
use std::time::Duration;

use daisychute_core::{
    AdapterName, DataCentreName, EndpointName, EndpointRecord, LoadReport, Time,
};
use daisychute_policy::prefix::{block_hashes, seed};
use daisychute_policy::{Candidate, SelectionQuery, Selector};
use daisychute_proto::{Completion, Work};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::EndpointSelector;
use crate::core::Submission;

/// Assumed bytes of text per token. The prompt is only estimated here, because the engine tokenizes it later.
const BYTES_PER_TOKEN: usize = 4;
/// Assumed one-way network delay between two data centres of a region.
const CROSS_DC_ONE_WAY_DELAY: Duration = Duration::from_micros(1_500);

/// Selects endpoints with [`Selector`], with network delays as seen from one data centre.
#[derive(Debug)]
pub struct PolicySelector {
    selector: Selector,
    data_centre: DataCentreName,
    rng: Pcg64Mcg,
}

impl PolicySelector {
    /// Creates a selector for an entry in `data_centre`. Equal seeds and inputs give equal selections.
    #[must_use]
    pub fn new(data_centre: DataCentreName, seed: u64) -> Self {
        Self { selector: Selector::new(), data_centre, rng: Pcg64Mcg::seed_from_u64(seed) }
    }
}

impl EndpointSelector for PolicySelector {
    fn endpoint_updated(&mut self, now: Time, record: &EndpointRecord) {
        let is_near = record.data_centre == self.data_centre;
        let distance = if is_near { Duration::ZERO } else { CROSS_DC_ONE_WAY_DELAY };
        self.selector.upsert(now, Candidate::from_record(record, distance));
    }

    fn endpoint_removed(&mut self, endpoint: &EndpointName) {
        self.selector.remove(endpoint);
    }

    fn report(&mut self, now: Time, endpoint: &EndpointName, load: LoadReport) {
        self.selector.update_load(now, endpoint, load);
    }

    fn succeeded(&mut self, endpoint: &EndpointName) {
        self.selector.succeeded(endpoint);
    }

    fn failed(&mut self, now: Time, endpoint: &EndpointName) {
        self.selector.failed(now, endpoint);
    }

    fn select(
        &mut self,
        now: Time,
        submission: &Submission,
        tried: &BTreeSet<EndpointName>,
    ) -> Option<EndpointName> {
        let tried: Vec<EndpointName> = tried.iter().cloned().collect();
        let selection = match &submission.work {
            Work::Completion(completion) => {
                let (tokens, blocks) = estimate_prompt(completion);
                let query = SelectionQuery::model(&completion.model)
                    .adapter(completion.adapter.as_ref())
                    .prompt(tokens, &blocks)
                    .output_tokens(completion.max_tokens)
                    .between_tokens(submission.between_tokens)
                    .exclude(&tried);
                self.selector.select(now, &query, &mut self.rng)
            }
            Work::Call(call) => self.selector.select(
                now,
                &SelectionQuery::service(&call.service).exclude(&tried),
                &mut self.rng,
            ),
        };
        selection.ok().map(|it| it.endpoint)
    }
}

/// Returns the estimated token count and the block hashes of a prompt.
fn estimate_prompt(completion: &Completion) -> (u32, Vec<u64>) {
    let text = completion.prompt.text();
    let tokens = u32::try_from(text.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
    let seed =
        seed(completion.model.as_str(), completion.adapter.as_ref().map(AdapterName::as_str));
    (tokens, block_hashes(seed, &text))
}
