//! Seeded generator of traces.
//!
//! Requests arrive in clusters, which follow a Poisson process; the load drifts around that of the scenario. Each
//! prompt begins with one of a few prefixes of its tenant and class. The same seed gives the same file.

mod arrivals;
mod classes;
mod draw;
mod scenario;

use daisychute_core::{EndpointName, NameError, TenantName};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

pub use self::scenario::Scenario;
use crate::trace::{Deployment, Fault, Header, Outcomes, SampleDeployment, Trace};

const TENANTS: usize = 8;

/// Generates a trace.
///
/// # Panics
///
/// Never: the names of the deployments are well-formed.
#[must_use]
pub fn generate(deployment: SampleDeployment, scenario: Scenario, seed: u64) -> Trace {
    let header =
        header(deployment, scenario, seed).expect("the names of the deployments are well-formed");
    let rng = Pcg64Mcg::seed_from_u64(seed);
    let requests = arrivals::arrivals(&header, rng);
    Trace { header, requests }
}

fn header(name: SampleDeployment, scenario: Scenario, seed: u64) -> Result<Header, NameError> {
    let deployment = Deployment::named(name)?;
    let tenants = (0..TENANTS)
        .map(|it| TenantName::try_from(format!("{}-{}", classes::tenant_prefix(name), it + 1)))
        .collect::<Result<_, _>>()?;
    let faults = faults(&deployment, scenario)?;
    Ok(Header {
        trace: format!("{}-{}", name.as_str(), scenario.as_str()),
        scenario,
        seed,
        classes: classes::classes(name)?,
        tenants,
        faults,
        outcomes: outcomes(name),
        deployment,
    })
}

/// Faults of a scenario: under [`Scenario::EngineLoss`], two engines of one data centre are lost half a second apart.
fn faults(deployment: &Deployment, scenario: Scenario) -> Result<Vec<Fault>, NameError> {
    if scenario != Scenario::EngineLoss {
        return Ok(Vec::new());
    }
    let data_centre = &deployment.data_centres[1];
    let lost = deployment.engines.iter().filter(|it| it.data_centre == *data_centre).take(2);
    lost.enumerate()
        .map(|(i, location)| {
            let endpoint = EndpointName::try_from(location.endpoint.as_str())?;
            Ok(Fault::EngineLost { at_ms: 100_000 + 500 * i as u64, endpoint })
        })
        .collect()
}

/// Outcomes that a replay of the deployment's traces must reach.
fn outcomes(name: SampleDeployment) -> Outcomes {
    let first_classes = Some(0.99);
    match name {
        SampleDeployment::RabatSale => Outcomes {
            goodput_of_bound: Some(0.95),
            above_baselines: Some(true),
            first_classes,
            ..Outcomes::default()
        },
        SampleDeployment::Budapest => Outcomes {
            changes_of_threshold: Some(0.5),
            goodput_of_threshold: Some(0.98),
            first_classes,
            ..Outcomes::default()
        },
    }
}
