//! Tests of the endpoint selector.

use std::collections::BTreeSet;
use std::time::Duration;

use daisychute_core::{DataCentreName, EndpointName, LoadReport, ModelName, Role, Time};
use daisychute_policy::{Candidate, NoEndpoint, SelectionQuery, Selector};
use quickcheck::QuickCheck;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const NOW: Time = Time::from_millis(100);
const BLOCKS: [u64; 4] = [11, 12, 13, 14];

fn model() -> ModelName {
    ModelName::try_from("recon-llm").unwrap()
}

fn name(i: usize) -> EndpointName {
    EndpointName::try_from(format!("recon-llm-{i}")).unwrap()
}

fn data_centre(i: usize) -> DataCentreName {
    DataCentreName::try_from(["bud-a", "bud-b", "gyor-a", "kecs-a"][i % 4]).unwrap()
}

fn rng() -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(7)
}

/// A selector with engines of these roles, spread over the data centres, which all report that they are idle.
fn selector(roles: &[Role]) -> Selector {
    let mut selector = Selector::new();
    for (i, role) in roles.iter().enumerate() {
        let candidate = Candidate::engine(name(i), data_centre(i), model()).role(*role);
        selector.upsert(Time::ZERO, candidate);
        selector.update_load(Time::from_millis(90), &name(i), idle());
    }
    selector
}

fn idle() -> LoadReport {
    LoadReport {
        prompt_token: Duration::from_micros(100),
        between_tokens: Duration::from_millis(12),
        ..LoadReport::default()
    }
}

fn busy(wait_ms: u64) -> LoadReport {
    LoadReport { wait: Duration::from_millis(wait_ms), ..idle() }
}

macro_rules! choice_cases {
    ($($name:ident: $roles:expr, $prepare:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut selector = selector(&$roles);
            let prepare: fn(&mut Selector) = $prepare;
            prepare(&mut selector);
            let model = model();
            let query = SelectionQuery::model(&model).prompt(1_000, &BLOCKS);
            let selection = selector.select(NOW, &query, &mut rng());
            assert_eq!(selection.map(|it| it.endpoint), $expected);
        }
    )*};
}

const MIXED: [Role; 3] = [Role::Mixed; 3];

choice_cases! {
    the_shortest_queue_wins: MIXED, |it| {
        it.update_load(NOW, &name(0), busy(500));
        it.update_load(NOW, &name(2), busy(500));
    } => Ok(name(1));
    a_cached_prefix_outweighs_a_short_queue: MIXED, |it| {
        it.add_cached_blocks(&name(2), &BLOCKS);
        it.update_load(NOW, &name(2), busy(10));
    } => Ok(name(2));
    a_long_queue_outweighs_a_cached_prefix: MIXED, |it| {
        it.add_cached_blocks(&name(2), &BLOCKS);
        it.update_load(NOW, &name(2), busy(500));
        it.update_load(NOW, &name(1), busy(600));
    } => Ok(name(0));
    an_evicted_prefix_no_longer_counts: MIXED, |it| {
        it.add_cached_blocks(&name(2), &BLOCKS);
        BLOCKS.iter().for_each(|block| it.remove_cached_block(&name(2), *block));
        it.update_load(NOW, &name(2), busy(10));
        it.update_load(NOW, &name(1), busy(10));
    } => Ok(name(0));
    three_failures_eject_an_endpoint: MIXED, |it| {
        (0..3).for_each(|_| it.failed(NOW, &name(1)));
        it.update_load(NOW, &name(0), busy(500));
        it.update_load(NOW, &name(2), busy(400));
    } => Ok(name(2));
    no_endpoint_is_ejected_if_most_failed: MIXED, |it| {
        (0..9).for_each(|i| it.failed(NOW, &name(i % 3)));
        it.update_load(NOW, &name(0), busy(500));
        it.update_load(NOW, &name(2), busy(400));
    } => Ok(name(1));
    a_draining_or_removed_endpoint_is_not_selected: MIXED, |it| {
        it.upsert(NOW, Candidate::engine(name(1), data_centre(1), model()).live(false));
        it.remove(&name(2));
    } => Ok(name(0));
    a_nearby_endpoint_is_preferred: MIXED, |it| {
        for i in [0, 2] {
            let far = Candidate::engine(name(i), data_centre(i), model());
            it.upsert(NOW, far.distance(Duration::from_millis(2)));
        }
    } => Ok(name(1));
    a_decode_engine_gets_no_prompts: [Role::Decode, Role::Prefill], |_| {} => Ok(name(1));
    no_endpoint_serves_the_model: [Role::Decode], |_| {} => Err(NoEndpoint);
}

#[test]
fn entries_agree_on_the_endpoint_of_a_prefix() {
    let model = model();
    let mut disagreements = 0;
    for prefix in 0..200_u64 {
        let blocks = [prefix * 31 + 5; 4];
        let query = SelectionQuery::model(&model).prompt(400, &blocks);
        let selected: BTreeSet<EndpointName> = (0..5)
            .filter_map(|entry| {
                let mut rng = Pcg64Mcg::seed_from_u64(entry);
                let mut selector = selector(&[Role::Mixed; 40]);
                let endpoint = selector.select(NOW, &query, &mut rng).ok()?.endpoint;
                selector.observe_cache_hit(&endpoint, &blocks, 0);
                Some(endpoint)
            })
            .collect();
        disagreements += usize::from(selected.len() > 2);
    }
    // Without load all estimates are equal, and the first candidates, those of the rendezvous hash, are selected.
    assert_eq!(disagreements, 0);
}

#[test]
fn a_burst_is_spread_by_sends_not_yet_reported() {
    let mut selector = selector(&[Role::Mixed; 4]);
    let model = model();
    let query = SelectionQuery::model(&model).prompt(2_000, &[]);
    let mut rng = rng();
    let selected: BTreeSet<EndpointName> = (0..8)
        .filter_map(|_| Some(selector.select(NOW, &query, &mut rng).ok()?.endpoint))
        .collect();
    assert_eq!(selected.len(), 4);
}

#[test]
fn a_new_endpoint_starts_slowly() {
    let mut selector = selector(&[Role::Mixed; 2]);
    selector.upsert(NOW, Candidate::engine(name(9), data_centre(0), model()));
    selector.update_load(NOW, &name(9), idle());
    selector.update_load(NOW, &name(0), busy(50));
    selector.update_load(NOW, &name(1), busy(50));
    let model = model();
    let query = SelectionQuery::model(&model).prompt(10, &[]);
    let mut rng = rng();
    assert_ne!(selector.select(NOW, &query, &mut rng).unwrap().endpoint, name(9));
    let later = NOW + Duration::from_secs(11);
    assert_eq!(selector.select(later, &query, &mut rng).unwrap().endpoint, name(9));
}

/// The KV cache stays within the data centre unless the wait there exceeds the extra time of a transfer to another.
#[test]
fn decode_stays_in_the_data_centre_while_it_has_room() {
    let mut selector =
        selector(&[Role::Prefill, Role::Decode, Role::Decode, Role::Prefill, Role::Decode]);
    let model = model();
    let query = SelectionQuery::model(&model).prompt(2_000, &[]);
    let prefilled_in = data_centre(4);
    let select =
        |selector: &mut Selector| selector.select_decode(NOW, &query, &prefilled_in, &mut rng());
    assert_eq!(select(&mut selector), Ok(name(4)));
    selector.update_load(NOW, &name(4), busy(1_000));
    selector.update_load(NOW, &name(1), busy(1_000));
    assert_eq!(select(&mut selector), Ok(name(2)));
}

#[test]
fn the_wait_for_full_decode_engines_is_predicted() {
    let mut selector = selector(&[Role::Prefill, Role::Decode]);
    let model = model();
    let query =
        SelectionQuery::model(&model).prompt(2_000, &[]).between_tokens(Duration::from_millis(39));
    let mut rng = rng();
    let while_free = selector.select(NOW, &query, &mut rng).unwrap();
    assert!(
        while_free.disaggregated
            && while_free.kv_transfer_wait < daisychute_policy::Selection::MAX_KV_TRANSFER_WAIT
    );
    let full = LoadReport {
        running: 64,
        pending_output_tokens: 64 * 200,
        between_tokens: Duration::from_millis(35),
        wait: Duration::from_secs(3),
        ..idle()
    };
    selector.update_load(NOW, &name(1), full);
    let while_full = selector.select(NOW, &query, &mut rng).unwrap();
    assert!(
        while_full.kv_transfer_wait > daisychute_policy::Selection::MAX_KV_TRANSFER_WAIT,
        "{while_full:?}"
    );
}

/// An endpoint that is excluded or not live is never selected, and the same seed gives the same selection.
#[test]
fn only_live_endpoints_are_selected_and_selections_repeat() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck gives owned values")]
    fn property(states: Vec<u8>, seed: u64) -> bool {
        let model = model();
        let mut selector = Selector::new();
        for (i, state) in states.iter().enumerate().take(60) {
            let candidate = Candidate::engine(name(i), data_centre(i), model.clone());
            selector.upsert(Time::ZERO, candidate.live(!state.is_multiple_of(3)));
        }
        let excluded: Vec<EndpointName> = states
            .iter()
            .enumerate()
            .filter(|(_, it)| it.is_multiple_of(5))
            .map(|(i, _)| name(i))
            .collect();
        let query = SelectionQuery::model(&model).prompt(500, &BLOCKS).exclude(&excluded);
        let select = |mut selector: Selector| {
            selector.select(NOW, &query, &mut Pcg64Mcg::seed_from_u64(seed))
        };
        let (first, second) = (select(selector.clone()), select(selector));
        let is_eligible = |i: usize| !states[i].is_multiple_of(3) && !states[i].is_multiple_of(5);
        let any_eligible = (0..states.len().min(60)).any(is_eligible);
        first == second
            && match first {
                Ok(it) => {
                    (0..states.len().min(60)).any(|i| is_eligible(i) && name(i) == it.endpoint)
                }
                Err(NoEndpoint) => !any_eligible,
            }
    }
    QuickCheck::new().tests(300).quickcheck(property as fn(Vec<u8>, u64) -> bool);
}

/// Expected wait for a decode engine of a request that is sent now.
fn kv_transfer_wait(selector: &mut Selector) -> Duration {
    let model = model();
    let target = Some(Duration::from_millis(20));
    let query = SelectionQuery::model(&model).prompt(1_000, &BLOCKS).between_tokens(target);
    selector.select(NOW, &query, &mut rng()).expect("an engine is live").kv_transfer_wait
}

macro_rules! leaving_engine_cases {
    ($($name:ident: $role:expr, $report:expr;)*) => {$(
        // Guards against a refusal, or a wait, that goes by the load of an engine that takes no more requests.
        #[test]
        fn $name() {
            let full = LoadReport {
                between_tokens: Duration::from_millis(18),
                running: 10,
                pending_output_tokens: 1_000,
                ..idle()
            };
            let mut selector = selector(&[Role::Prefill, Role::Decode, $role]);
            selector.update_load(NOW, &name(1), full);
            selector.remove(&name(2));
            let expected = kv_transfer_wait(&mut selector.clone());
            assert!(expected > Duration::ZERO);
            selector.upsert(NOW, Candidate::engine(name(2), data_centre(2), model()).role($role).live(false));
            selector.update_load(NOW, &name(2), $report);
            assert_eq!(kv_transfer_wait(&mut selector), expected);
        }
    )*};
}

leaving_engine_cases! {
    free_streams_of_a_leaving_engine_do_not_count: Role::Decode, idle();
    queue_of_a_leaving_engine_does_not_count: Role::Prefill, busy(60_000);
}
