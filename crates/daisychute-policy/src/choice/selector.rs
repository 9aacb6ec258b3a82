//! The choice core of one entry.

use std::collections::BTreeMap;
use std::time::Duration;

use daisychute_core::{DataCentreName, EndpointName, LoadReport, Role, Time};
use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64;

use super::candidate::Candidate;
use super::health::Health;
use super::hits::Hits;
use super::selection_query::{NoEndpoint, Selection, SelectionQuery};
use super::sends::Sends;
use super::slot::{Part, Slot};

/// Chooses the endpoint of each request of one entry.
///
/// ```
/// use std::time::Duration;
///
/// use daisychute_core::{DataCentreName, EndpointName, LoadReport, ModelName, Time};
/// use daisychute_policy::{Candidate, Selector, SelectionQuery};
/// use rand::SeedableRng;
/// use rand_pcg::Pcg64Mcg;
///
/// let model = ModelName::try_from("clerk-lm")?;
/// let agdal = DataCentreName::try_from("agdal")?;
/// let mut selector = Selector::new();
/// for name in ["clerk-lm-1", "clerk-lm-2"] {
///     let endpoint = EndpointName::try_from(name)?;
///     selector.upsert(Time::ZERO, Candidate::engine(endpoint, agdal.clone(), model.clone()));
/// }
///
/// let mut rng = Pcg64Mcg::seed_from_u64(7);
/// let query = SelectionQuery::model(&model).prompt(640, &[11, 12, 13]).output_tokens(100);
/// let first = selector.choose(Time::from_millis(1), &query, &mut rng)?;
/// selector.update_load(Time::from_millis(1_900), &first.endpoint, LoadReport::default());
/// let again = selector.choose(Time::from_millis(2_000), &query, &mut rng)?;
/// assert_eq!(first.endpoint, again.endpoint);
/// assert!(again.cached_tokens > 0);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct Selector {
    pub(super) slots: Vec<Slot>,
    // Invariant: the place in `slots` of each endpoint there.
    places: BTreeMap<EndpointName, usize>,
}

impl Selector {
    /// Candidates by the rendezvous hash.
    const AFFINE: usize = 2;
    /// Random candidates.
    const RANDOM: usize = 4;
    /// Leading blocks that decide the rendezvous hash: prompts that share these meet on the same endpoints.
    const KEY_BLOCKS: usize = 4;
    /// A report no older than this is worth no probe, and its endpoint is a candidate without being drawn.
    const FRESH: Duration = Duration::from_millis(50);
    /// The greatest number of candidates for having a fresh report.
    const MAX_FRESH: usize = 8;
    /// No more than this part of the endpoints that serve a model is left out as outliers.
    const MAX_EJECTED: f64 = 0.5;

    /// A selector that knows no endpoint.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// An endpoint is there, or what is known of it changed. One that is new starts slowly, unless the selector is
    /// new too (`now` is [`Time::ZERO`]).
    pub fn upsert(&mut self, now: Time, candidate: Candidate) {
        if let Some(&place) = self.places.get(&candidate.endpoint) {
            let slot = &mut self.slots[place];
            if slot.candidate.model != candidate.model
                || slot.candidate.adapter != candidate.adapter
            {
                slot.hits.clear();
            }
            slot.candidate = candidate;
            return;
        }
        self.places.insert(candidate.endpoint.clone(), self.slots.len());
        self.slots.push(Slot {
            hash: xxh3_64(candidate.endpoint.as_str().as_bytes()),
            report: LoadReport::default(),
            as_of: Time::ZERO,
            sends: Sends::default(),
            hits: Hits::default(),
            health: if now == Time::ZERO { Health::warm() } else { Health::new(now) },
            candidate,
        });
    }

    /// An endpoint is gone.
    pub fn remove(&mut self, endpoint: &EndpointName) {
        let Some(place) = self.places.remove(endpoint) else { return };
        self.slots.swap_remove(place);
        if let Some(moved) = self.slots.get(place) {
            self.places.insert(moved.candidate.endpoint.clone(), place);
        }
    }

    /// An endpoint's load came. One that is older than the last is passed over.
    pub fn update_load(&mut self, now: Time, endpoint: &EndpointName, report: LoadReport) {
        let Some(slot) = self.slot_mut(endpoint) else { return };
        let as_of = now - report.age;
        if as_of < slot.as_of {
            return;
        }
        slot.sends.forget_before(as_of);
        slot.report = report;
        slot.as_of = as_of;
    }

    /// An endpoint's cache holds these blocks, by a cache event, a probe or an answer.
    pub fn add_cached_blocks(&mut self, endpoint: &EndpointName, blocks: &[u64]) {
        if let Some(slot) = self.slot_mut(endpoint) {
            slot.hits.add(blocks);
        }
    }

    /// An endpoint's cache lost this block.
    pub fn remove_cached_block(&mut self, endpoint: &EndpointName, block: u64) {
        if let Some(slot) = self.slot_mut(endpoint) {
            slot.hits.remove(block);
        }
    }

    /// An endpoint answered.
    pub fn succeeded(&mut self, endpoint: &EndpointName) {
        if let Some(slot) = self.slot_mut(endpoint) {
            slot.health.succeeded();
        }
    }

    /// An endpoint answered a prompt with these leading blocks, of whose tokens it had so many cached.
    pub fn observe_cache_hit(
        &mut self,
        endpoint: &EndpointName,
        blocks: &[u64],
        cached_tokens: u32,
    ) {
        let believed = self.places.get(endpoint).map(|it| self.slots[*it].hits.leading(blocks));
        if let Some(slot) = self.slot_mut(endpoint) {
            slot.health.succeeded();
            if cached_tokens > 0 || believed == Some(0) {
                slot.hits.add(blocks);
            }
        }
    }

    /// An endpoint failed a request. A refusal for load is no failure.
    pub fn failed(&mut self, now: Time, endpoint: &EndpointName) {
        if let Some(slot) = self.slot_mut(endpoint) {
            slot.health.failed(now);
        }
    }

    /// The endpoints that are worth a probe before [`choose`](Self::choose): those that it will look at and whose
    /// report is old. The answers go to [`update_load`](Self::update_load) and
    /// [`add_cached_blocks`](Self::add_cached_blocks); a choice that doesn't wait for them is worse and still right.
    pub fn probes(
        &self,
        now: Time,
        query: &SelectionQuery<'_>,
        rng: &mut impl Rng,
    ) -> Vec<EndpointName> {
        let mut picked = Vec::new();
        for part in [Part::Whole, Part::Prefill] {
            let open = self.open(now, |slot| slot.serves(query, part));
            picked.extend(self.affine(query, &open));
            picked.extend(self.sample(&open, rng));
        }
        picked.sort_unstable();
        picked.dedup();
        picked.retain(|it| now.since(self.slots[*it].as_of) > Self::FRESH);
        picked.into_iter().map(|it| self.slots[it].candidate.endpoint.clone()).collect()
    }

    /// Chooses the endpoint that gets a request first, and counts the request as sent to it.
    ///
    /// # Errors
    ///
    /// No live endpoint serves the model.
    pub fn choose(
        &mut self,
        now: Time,
        query: &SelectionQuery<'_>,
        rng: &mut impl Rng,
    ) -> Result<Selection, NoEndpoint> {
        let whole = self.best(now, query, Part::Whole, rng);
        let split = self.best(now, query, Part::Prefill, rng);
        let (place, estimate, is_disaggregated) = match (whole, split) {
            (Some((place, cost)), Some((_, other))) if cost <= other => (place, cost, false),
            (_, Some((place, cost))) => (place, cost, true),
            (Some((place, cost)), None) => (place, cost, false),
            (None, None) => return Err(NoEndpoint),
        };
        let cached_tokens = self.cached_tokens(place, query);
        let kv_transfer_wait = if is_disaggregated {
            self.expected_kv_transfer_wait(query, place)
        } else {
            Duration::ZERO
        };
        let slot = &mut self.slots[place];
        slot.sends.add(now, query.prompt_tokens - cached_tokens);
        slot.hits.add(query.blocks);
        Ok(Selection {
            endpoint: slot.candidate.endpoint.clone(),
            data_centre: slot.candidate.data_centre.clone(),
            disaggregated: is_disaggregated,
            cached_tokens,
            first_token: estimate,
            kv_transfer_wait,
        })
    }

    /// Chooses the engine that decodes a request whose prompt was computed in this data centre, and counts the
    /// request as sent to it. The KV cache moves inside the data centre unless the wait there is longer than the
    /// move to another takes.
    ///
    /// # Errors
    ///
    /// No live engine decodes the model.
    pub fn choose_decode(
        &mut self,
        now: Time,
        query: &SelectionQuery<'_>,
        data_centre: &DataCentreName,
        rng: &mut impl Rng,
    ) -> Result<EndpointName, NoEndpoint> {
        // An engine of mixed role decodes only where no other can.
        let decodes = |slot: &Slot| slot.serves(query, Part::Decode);
        let mut open = self.open(now, |slot| decodes(slot) && slot.candidate.role == Role::Decode);
        if open.is_empty() {
            open = self.open(now, decodes);
        }
        let is_here = |it: &usize| self.slots[*it].candidate.data_centre == *data_centre;
        let (here, elsewhere): (Vec<usize>, Vec<usize>) = open.into_iter().partition(is_here);
        let mut picked = self.sample(&here, rng);
        picked.extend(self.sample(&elsewhere, rng));
        let cost = |it: &usize| self.decode_cost(query, data_centre, &self.slots[*it]);
        let place = picked.into_iter().min_by_key(cost).ok_or(NoEndpoint)?;
        let slot = &mut self.slots[place];
        slot.sends.add(now, 0);
        Ok(slot.candidate.endpoint.clone())
    }

    /// The endpoint with the least estimate for this part of a request.
    fn best(
        &self,
        now: Time,
        query: &SelectionQuery<'_>,
        part: Part,
        rng: &mut impl Rng,
    ) -> Option<(usize, Duration)> {
        let open = self.open(now, |slot| slot.serves(query, part));
        let mut picked = self.affine(query, &open);
        let fresh =
            open.iter().copied().filter(|it| now.since(self.slots[*it].as_of) <= Self::FRESH);
        picked.extend(fresh.take(Self::MAX_FRESH));
        if picked.len() < Self::AFFINE + Self::RANDOM {
            picked.extend(self.sample(&open, rng));
        }
        self.least(now, query, part, &picked)
    }

    /// The places that may be chosen. Outliers are left out unless they are too many.
    fn open(&self, now: Time, serves: impl Fn(&Slot) -> bool) -> Vec<usize> {
        let serving = || (0..self.slots.len()).filter(|it| serves(&self.slots[*it]));
        let healthy: Vec<usize> =
            serving().filter(|it| !self.slots[*it].health.is_ejected(now)).collect();
        let all = serving().count();
        let ejected = all - healthy.len();
        if ejected as f64 <= Self::MAX_EJECTED * all as f64 { healthy } else { serving().collect() }
    }

    fn least(
        &self,
        now: Time,
        query: &SelectionQuery<'_>,
        part: Part,
        picked: &[usize],
    ) -> Option<(usize, Duration)> {
        picked
            .iter()
            .map(|it| (*it, self.estimate(now, query, part, *it)))
            .min_by_key(|(_, cost)| *cost)
    }

    /// The first endpoints of the rendezvous hash of model, adapter and prefix.
    fn affine(&self, query: &SelectionQuery<'_>, open: &[usize]) -> Vec<usize> {
        let depth = query.blocks.len().min(Self::KEY_BLOCKS);
        let Some(key) = depth.checked_sub(1).map(|it| query.blocks[it]) else { return Vec::new() };
        let mut best: Vec<(u64, usize)> = Vec::with_capacity(Self::AFFINE + 1);
        for &place in open {
            best.push((mix(key ^ self.slots[place].hash), place));
            best.sort_unstable_by(|a, b| b.cmp(a));
            best.truncate(Self::AFFINE);
        }
        best.into_iter().map(|(_, place)| place).collect()
    }

    fn sample(&self, open: &[usize], rng: &mut impl Rng) -> Vec<usize> {
        if open.len() <= Self::RANDOM {
            return open.to_vec();
        }
        (0..Self::RANDOM).map(|_| open[rng.random_range(0..open.len())]).collect()
    }

    fn slot_mut(&mut self, endpoint: &EndpointName) -> Option<&mut Slot> {
        let place = *self.places.get(endpoint)?;
        self.slots.get_mut(place)
    }
}

/// The finalizer of SplitMix64 (Steele et al., 2014).
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
