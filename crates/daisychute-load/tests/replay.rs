//! Replays on the virtual clock.

use daisychute_load::generate::{Scenario, generate};
use daisychute_load::replay::{PolicyName, Report, bound, replay};
use daisychute_load::trace::{Fault, SampleDeployment, Trace, Work};

/// The first seconds of a trace, with its faults at a tenth of their time.
fn beginning(deployment: SampleDeployment, scenario: Scenario, seconds: u32) -> Trace {
    let mut trace = generate(deployment, scenario, 5);
    trace.requests.retain(|it| it.at_ms < seconds * 1_000);
    for fault in &mut trace.header.faults {
        let Fault::EngineLost { at_ms, .. } = fault;
        *at_ms /= 10;
    }
    trace
}

fn summary(report: &Report) -> String {
    format!("{:.4} {} {:.4}", report.goodput, report.role_changes, report.refused)
}

macro_rules! bound_cases {
    ($($name:ident: $deployment:ident, $scenario:ident;)*) => {$(
        /// No policy exceeds the clairvoyant bound, and the classes with precedence `First` meet their targets.
        #[test]
        fn $name() {
            let trace = beginning(SampleDeployment::$deployment, Scenario::$scenario, 30);
            let bound = bound(&trace);
            assert!((0.0..=1.0).contains(&bound));
            for policy in PolicyName::ALL {
                let report = replay(&trace, policy);
                assert!(report.goodput <= bound, "{policy:?} {} {bound}", report.goodput);
                assert!(report.first_classes >= 0.99, "{policy:?} {}", report.first_classes);
            }
        }
    )*};
}

bound_cases! {
    steady_in_rabat_sale: RabatSale, Steady;
    square_wave_in_rabat_sale: RabatSale, SquareWave;
    engine_loss_in_rabat_sale: RabatSale, EngineLoss;
    steady_in_budapest: Budapest, Steady;
    engine_loss_in_budapest: Budapest, EngineLoss;
}

#[test]
fn a_replay_is_deterministic() {
    let trace = beginning(SampleDeployment::RabatSale, Scenario::EngineLoss, 20);
    let [first, second] = [(), ()].map(|()| summary(&replay(&trace, PolicyName::Ours)));
    assert_eq!(first, second);
}

/// Under ten times the load of the trace, the bound falls below 0.9, requests are refused, and the classes with
/// precedence `First` still meet their targets.
#[test]
fn overload_lowers_the_bound() {
    let mut trace = beginning(SampleDeployment::RabatSale, Scenario::Steady, 100);
    trace.requests.iter_mut().for_each(|it| it.at_ms /= 10);
    assert!(bound(&trace) < 0.9);
    let report = replay(&trace, PolicyName::Ours);
    assert!(report.goodput <= bound(&trace));
    assert!(report.first_classes >= 0.99);
    assert!(report.refused > 0.0);
}

#[test]
fn the_clairvoyant_bound_of_an_empty_trace_is_one() {
    let trace = beginning(SampleDeployment::Budapest, Scenario::Steady, 0);
    assert!((bound(&trace) - 1.0).abs() < f64::EPSILON);
}

macro_rules! demand_cases {
    ($($name:ident: $policy:ident;)*) => {$(
        // Guards against role changes for a demand that lost engines only seem to raise.
        #[test]
        fn $name() {
            let trace = beginning(SampleDeployment::RabatSale, Scenario::EngineLoss, 30);
            let classes = &trace.header.classes;
            let is_completion = |class: u8| classes[usize::from(class)].work == Work::Completion;
            let completions = trace.requests.iter().filter(|it| is_completion(it.class)).count();
            let report = replay(&trace, PolicyName::$policy);
            assert_eq!(report.counted_completions as usize, completions);
        }
    )*};
}

demand_cases! {
    requests_of_a_lost_engine_count_once: Ours;
    requests_without_a_decode_engine_count_once: RoundRobin;
}

/// A trace of one request with a prompt of 1,000 tokens and two output tokens. Two engines of one data centre prefill,
/// and two of another one decode; `lost_engine` is lost while the KV cache is under way. A transfer takes a second.
fn refused_decode(lost_engine: usize) -> Trace {
    let mut trace = beginning(SampleDeployment::RabatSale, Scenario::Steady, 30);
    let header = &mut trace.header;
    let position = header.classes.iter().position(|it| it.class.targets.between_tokens.is_some());
    let class = position.expect("a class has a target between tokens");
    header.classes[class].class.targets.first_token = None;
    header.deployment.engines.truncate(4);
    header.deployment.data_centres.truncate(2);
    for (i, engine) in header.deployment.engines.iter_mut().enumerate() {
        engine.data_centre = header.deployment.data_centres[i / 2].clone();
    }
    header.deployment.speed.far_transfer_tokens = 1_000.0;
    let endpoint = header.deployment.engines[lost_engine].endpoint.clone();
    header.faults = vec![Fault::EngineLost { at_ms: 700, endpoint }];
    trace.requests.truncate(1);
    let request = &mut trace.requests[0];
    (request.at_ms, request.class) = (0, class as u8);
    (request.prompt_tokens, request.prefix_tokens) = (1_000, 0);
    (request.output_tokens, request.max_tokens) = (2, 2);
    trace
}

// Guards against a repeated transfer that is timed from the engine that refused, where the KV cache never was.
#[test]
fn transfer_after_a_refused_decode_starts_at_the_prefill_engine() {
    let gap = |lost| replay(&refused_decode(lost), PolicyName::RoundRobin).p95_between_tokens;
    let mut gaps = [gap(2), gap(3)];
    gaps.sort_unstable();
    assert!(gaps[0].as_secs_f64() > 1.0 && gaps[0].as_secs_f64() < 1.2, "{gaps:?}");
    assert!(gaps[1].as_secs_f64() > 2.0 && gaps[1].as_secs_f64() < 2.3, "{gaps:?}");
}
