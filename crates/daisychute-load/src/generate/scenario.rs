//! The shape of the load over time.

use clap::ValueEnum;
use serde::{Deserialize, Serialize};

/// The shape of a trace.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, ValueEnum,
)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// Load and mix stay.
    Steady,
    /// The mix goes from prompt-heavy to output-heavy and back within minutes.
    Swing,
    /// The mix jumps between the two every few seconds.
    SquareWave,
    /// The load rises to nearly all that the engines can do within seconds.
    MorningBurst,
    /// The mix swings, and two engines of one data centre are lost.
    EngineLoss,
    /// One tenant sends many times its usual load.
    HotTenant,
    /// Twice of what the engines can do.
    Overload,
}

/// Load and mix at one time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Intensity {
    /// Work that is offered, as a part of what the engines can do.
    pub(super) load: f64,
    /// The mix of the interactive class: 0 is prompt-heavy and 1 is output-heavy.
    pub(super) mix: f64,
    /// Further load of the first tenant, on top.
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
    const BASE_LOAD: f64 = 0.6;

    /// Its name in files and tables.
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

    /// How long requests arrive, in seconds.
    #[must_use]
    pub const fn seconds(self) -> f64 {
        match self {
            Self::Swing | Self::EngineLoss => 300.0,
            _ => 200.0,
        }
    }

    pub(super) fn at(self, t: f64) -> Intensity {
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

/// Prompt-heavy for a minute, then over 90 s to output-heavy, and back over 60 s.
fn swing(t: f64) -> f64 {
    match t {
        _ if t < 60.0 => 0.0,
        _ if t < 150.0 => (t - 60.0) / 90.0,
        _ if t < 210.0 => 1.0,
        _ if t < 270.0 => 1.0 - (t - 210.0) / 60.0,
        _ => 0.0,
    }
}

/// Quiet, then within 15 s near to all that the engines can do for a minute.
fn burst(t: f64) -> f64 {
    match t {
        _ if t < 50.0 => 0.2,
        _ if t < 65.0 => 0.2 + 0.6 * (t - 50.0) / 15.0,
        _ if t < 125.0 => 0.8,
        _ => 0.4,
    }
}
