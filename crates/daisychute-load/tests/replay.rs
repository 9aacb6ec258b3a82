//! Replays on the virtual clock.

use daisychute_load::generate::{Scenario, generate};
use daisychute_load::replay::{PolicyName, Report, bound, replay};
use daisychute_load::trace::{Fault, SampleDeployment, Trace};

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
