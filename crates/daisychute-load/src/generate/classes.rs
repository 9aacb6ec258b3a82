//! Request classes of the deployments.

use std::time::Duration;

use daisychute_core::{Class, ClassName, ClassTargets, NameError, Precedence};

use crate::trace::{SampleDeployment, TraceClass, Work};

/// Load and sizes of the requests of one class.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClassProfile {
    /// Share of the engine work; 0 for calls.
    pub(super) work_share: f64,
    /// Calls per second of the plain service; 0 for completions.
    pub(super) calls_per_second: f64,
    /// Mean prompt and output tokens at mix 0.
    pub(super) prompt_heavy: (f64, f64),
    /// Mean prompt and output tokens at mix 1.
    pub(super) output_heavy: (f64, f64),
}

impl ClassProfile {
    const fn calls(calls_per_second: f64) -> Self {
        Self {
            work_share: 0.0,
            calls_per_second,
            prompt_heavy: (0.0, 0.0),
            output_heavy: (0.0, 0.0),
        }
    }

    const fn tokens(work_share: f64, prompt_heavy: (f64, f64), output_heavy: (f64, f64)) -> Self {
        Self { work_share, calls_per_second: 0.0, prompt_heavy, output_heavy }
    }

    /// Mean prompt and output tokens at a mix from 0 to 1.
    pub(super) fn mean_tokens(&self, mix: f64) -> (f64, f64) {
        let interpolate = |from: f64, to: f64| from + (to - from) * mix;
        (
            interpolate(self.prompt_heavy.0, self.output_heavy.0),
            interpolate(self.prompt_heavy.1, self.output_heavy.1),
        )
    }
}

/// First part of the tenant names.
pub(super) const fn tenant_prefix(deployment: SampleDeployment) -> &'static str {
    match deployment {
        SampleDeployment::RabatSale => "district",
        SampleDeployment::Budapest => "firm",
    }
}

/// Profile of each class, in the order of [`classes`].
pub(super) const fn profiles(deployment: SampleDeployment) -> [ClassProfile; 5] {
    match deployment {
        SampleDeployment::RabatSale => [
            ClassProfile::calls(4.0),
            ClassProfile::calls(2.0),
            ClassProfile::tokens(0.75, (4_000.0, 120.0), (800.0, 500.0)),
            ClassProfile::tokens(0.15, (1_500.0, 40.0), (1_500.0, 40.0)),
            ClassProfile::tokens(0.10, (6_000.0, 600.0), (6_000.0, 600.0)),
        ],
        SampleDeployment::Budapest => [
            ClassProfile::calls(4.0),
            ClassProfile::calls(2.0),
            ClassProfile::tokens(0.45, (2_500.0, 80.0), (700.0, 300.0)),
            ClassProfile::tokens(0.20, (1_800.0, 200.0), (900.0, 400.0)),
            ClassProfile::tokens(0.35, (9_000.0, 500.0), (9_000.0, 500.0)),
        ],
    }
}

/// Classes of a deployment with their targets.
pub(super) fn classes(deployment: SampleDeployment) -> Result<Vec<TraceClass>, NameError> {
    match deployment {
        SampleDeployment::RabatSale => rabat_sale(),
        SampleDeployment::Budapest => budapest(),
    }
}

fn rabat_sale() -> Result<Vec<TraceClass>, NameError> {
    Ok(vec![
        call("panel-refresh", Work::Call)?,
        call("barrier-count", Work::NonRepeatableCall)?,
        interactive("clerk-question")?,
        may_wait("plate-note", Duration::from_secs(120))?,
        may_wait("incident-digest", Duration::from_secs(240))?,
    ])
}

fn budapest() -> Result<Vec<TraceClass>, NameError> {
    Ok(vec![
        call("status-ping", Work::Call)?,
        call("match-confirmation", Work::NonRepeatableCall)?,
        interactive("line-match")?,
        interactive("ledger-question")?,
        may_wait("statement-review", Duration::from_secs(240))?,
    ])
}

fn call(name: &str, work: Work) -> Result<TraceClass, NameError> {
    let targets = ClassTargets {
        first_token: Some(Duration::from_millis(250)),
        deadline: Some(Duration::from_millis(500)),
        ..ClassTargets::default()
    };
    let class = Class::new(ClassName::try_from(name)?, Precedence::First).targets(targets);
    Ok(TraceClass { class, work })
}

fn interactive(name: &str) -> Result<TraceClass, NameError> {
    let targets = ClassTargets {
        first_token: Some(Duration::from_millis(1_700)),
        between_tokens: Some(Duration::from_millis(39)),
        deadline: Some(Duration::from_secs(60)),
        ..ClassTargets::default()
    };
    let class = Class::new(ClassName::try_from(name)?, Precedence::Interactive).targets(targets);
    Ok(TraceClass { class, work: Work::Completion })
}

fn may_wait(name: &str, deadline: Duration) -> Result<TraceClass, NameError> {
    let targets = ClassTargets { deadline: Some(deadline), ..ClassTargets::default() };
    let class = Class::new(ClassName::try_from(name)?, Precedence::MayWait).targets(targets);
    Ok(TraceClass { class, work: Work::Completion })
}
