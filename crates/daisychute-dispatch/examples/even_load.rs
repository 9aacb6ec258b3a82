//! Prints how evenly fronts load the engines, by the age of their heartbeats.

#[path = "../tests/common/mod.rs"]
mod common;
#[path = "../tests/simulation/mod.rs"]
mod simulation;

use std::time::Duration;

use daisychute_dispatch::{BalanceSettings, BalanceStrategy, DispatchSettings};

use crate::simulation::replay::{LARGE, SMALL, figures, replay};

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let scale: f64 = args.get(1).map_or(1.0, |it| it.parse().expect("a number"));
    let ages: Vec<u64> = args.get(2).map_or(vec![0, 40, 400, 1_000], |it| {
        it.split(',').map(|it| it.parse().expect("ms")).collect()
    });
    let which = args.get(3).map_or("small", String::as_str);
    let strategies = [
        ("off", BalanceStrategy::Off, 0.0),
        ("peer sends 0.5", BalanceStrategy::PeerSends, 0.5),
        ("peer sends 1", BalanceStrategy::PeerSends, 1.0),
        ("softmin 0.05", BalanceStrategy::Softmin, 0.05),
        ("softmin 0.1", BalanceStrategy::Softmin, 0.1),
        ("softmin 0.2", BalanceStrategy::Softmin, 0.2),
        ("subset 4", BalanceStrategy::Subset, 4.0),
        ("subset 8", BalanceStrategy::Subset, 8.0),
        ("two choices", BalanceStrategy::TwoChoices, 2.0),
        ("four choices", BalanceStrategy::TwoChoices, 4.0),
        ("noise 1", BalanceStrategy::Noise, 1.0),
        ("noise 2", BalanceStrategy::Noise, 2.0),
        ("softmin 5", BalanceStrategy::Softmin, 5.0),
        ("drain", BalanceStrategy::Drain, 0.0),
        ("drain peer sends 0.5", BalanceStrategy::Drain, 0.5),
        ("drain peer sends 1", BalanceStrategy::Drain, 1.0),
        ("drain peer sends 2", BalanceStrategy::Drain, 2.0),
        ("adaptive 0.5", BalanceStrategy::Adaptive, 0.5),
        ("adaptive 1", BalanceStrategy::Adaptive, 1.0),
        ("adaptive 2", BalanceStrategy::Adaptive, 2.0),
        ("adaptive 6", BalanceStrategy::Adaptive, 6.0),
        ("adaptive 10", BalanceStrategy::Adaptive, 10.0),
        ("adaptive 4", BalanceStrategy::Adaptive, 4.0),
        ("raised level", BalanceStrategy::Level, 1.0),
        ("level 1", BalanceStrategy::LearnedLevel, 1.0),
        ("level 2", BalanceStrategy::LearnedLevel, 2.0),
    ];
    let mut deployment = if which == "small" { SMALL } else { LARGE };
    deployment.long = deployment.long.map(|it| it * scale);
    deployment.short = deployment.short.map(|it| it * scale);
    let filter = args.get(4).cloned().unwrap_or_default();
    for age in ages {
        for (name, strategy, strength) in strategies.iter().filter(|it| it.0.contains(&filter)) {
            let age = Duration::from_millis(age);
            let assumed = std::env::var("ASSUMED")
                .map_or(age, |it| Duration::from_millis(it.parse().expect("ms")));
            let balance =
                BalanceSettings { strategy: *strategy, age: assumed, strength: *strength };
            let settings = DispatchSettings { balance, ..DispatchSettings::default() };
            let mut sim = replay(
                &deployment,
                age,
                settings,
                std::env::var("SECS").map_or(14, |it| it.parse().expect("s")),
            );
            sim.run();
            let it = figures(&sim);
            println!(
                "| {which} | {} | {name} | {:.3} | {:.3} | {:.3} | {:.2} | {:.2} | {:.3} | {:.3} | {} | {:.3} |",
                age.as_millis(),
                it.all,
                it.long,
                it.short,
                it.ratio[0],
                it.ratio[1],
                it.idle[0],
                it.idle[1],
                it.again,
                it.refused
            );
        }
    }
}
