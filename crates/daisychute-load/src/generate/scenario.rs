//! Course of load and mix over time.

use clap::ValueEnum;
use serde::{Deserialize, Serialize};

/// Course of load and mix over the time of a trace.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, ValueEnum,
)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// Load and mix stay constant.
    Steady,
    /// The mix moves from prompt-heavy to output-heavy and back within minutes.
    Swing,
    /// The mix jumps between prompt-heavy and output-heavy every few seconds.
    SquareWave,
    /// The load rises to nearly the capacity of the engines within seconds.
    MorningBurst,
    /// The mix swings, and two engines of one data centre are lost.
    EngineLoss,
    /// One tenant sends many times its usual load.
    HotTenant,
    /// The load is twice the capacity of the engines for over a minute.
    Overload,
}

/// Load and mix at one time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Intensity {
    /// Offered work as a share of the capacity of the engines.
    pub(super) load: f64,
    /// Mix of the interactive classes: 0 is prompt-heavy and 1 is output-heavy.
    pub(super) mix: f64,
    /// Additional load of the first tenant, in the same unit.
    pub(super) hot: f64,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 7] = [
        Self::Steady,
        Self::Swing,
        Self::SquareWave,
        Self::MorningBurst,
        Self::EngineLoss,
        Self::HotTenant,
        Self::Overload,
    ];
    /// Load outside bursts and overload, as a share of the capacity of the engines.
    const BASE_LOAD: f64 = 0.6;

    /// Name of the scenario in files, in tables and on the command line.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Swing => "swing",
            Self::SquareWave => "square-wave",
            Self::MorningBurst => "morning-burst",
            Self::EngineLoss => "engine-loss",
            Self::HotTenant => "hot-tenant",
            Self::Overload => "overload",
        }
    }

    /// Time over which requests arrive, in seconds.
    #[must_use]
    pub const fn seconds(self) -> f64 {
        match self {
            Self::Swing | Self::EngineLoss => 300.0,
            _ => 200.0,
        }
    }

    /// Load and mix at second `t`.
    pub(super) fn intensity_at(self, t: f64) -> Intensity {
        let flat = Intensity { load: Self::BASE_LOAD, mix: 0.5, hot: 0.0 };
        match self {
            Self::Steady => flat,
            Self::Swing | Self::EngineLoss => Intensity { mix: swing(t), ..flat },
            Self::SquareWave => Intensity { mix: f64::from((t / 15.0) as u32 % 2), ..flat },
            Self::MorningBurst => Intensity { load: burst(t), mix: 0.3, ..flat },
            Self::HotTenant => {
                let hot = if (50.0..130.0).contains(&t) { 0.7 } else { 0.0 };
                Intensity { hot, ..flat }
            }
            Self::Overload => {
                let load = if (50.0..130.0).contains(&t) { 2.0 } else { Self::BASE_LOAD };
                Intensity { load, ..flat }
            }
        }
    }
}

/// Mix that is prompt-heavy for 60 s, moves to output-heavy over 90 s, stays for 60 s and moves back over 60 s.
fn swing(t: f64) -> f64 {
    match t {
        _ if t < 60.0 => 0.0,
        _ if t < 150.0 => (t - 60.0) / 90.0,
        _ if t < 210.0 => 1.0,
        _ if t < 270.0 => 1.0 - (t - 210.0) / 60.0,
        _ => 0.0,
    }
}

/// Load that is low for 50 s, rises to 0.8 over 15 s and stays there for a minute.
fn burst(t: f64) -> f64 {
    match t {
        _ if t < 50.0 => 0.2,
        _ if t < 65.0 => 0.2 + 0.6 * (t - 50.0) / 15.0,
        _ if t < 125.0 => 0.8,
        _ => 0.4,
    }
}
