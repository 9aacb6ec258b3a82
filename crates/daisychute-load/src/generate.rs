//! The seeded generator of traces.
//!
//! Arrivals come in clusters whose number follows a Poisson process; the load wanders around that of the scenario.
//! Prompts begin with one of a few prefixes of their tenant. The same seed gives the same bytes.

mod arrivals;
mod classes;
mod draw;
mod scenario;

use daisychute_core::{EndpointName, NameError, TenantName};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

pub use self::scenario::Scenario;
use crate::trace::{Deployment, DeploymentName, Fault, Header, Outcomes, Trace};

const TENANTS: usize = 8;

/// Makes a trace.
///
/// # Panics
///
/// Never: the names of the deployments are well-formed.
#[must_use]
pub fn generate(deployment: DeploymentName, scenario: Scenario, seed: u64) -> Trace {
    let header =
        header(deployment, scenario, seed).expect("the names of the deployments are well-formed");
    let rng = Pcg64Mcg::seed_from_u64(seed);
    let requests = arrivals::arrivals(&header, rng);
    Trace { header, requests }
}

fn header(name: DeploymentName, scenario: Scenario, seed: u64) -> Result<Header, NameError> {
    let deployment = Deployment::today(name)?;
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

/// Two engines of one data centre are lost while the mix swings.
fn faults(deployment: &Deployment, scenario: Scenario) -> Result<Vec<Fault>, NameError> {
    if scenario != Scenario::EngineLoss {
        return Ok(Vec::new());
    }
    let data_centre = &deployment.data_centres[1];
    let lost = deployment.engines.iter().filter(|it| it.data_centre == *data_centre).take(2);
    lost.enumerate()
        .map(|(i, site)| {
            let endpoint = EndpointName::try_from(site.endpoint.as_str())?;
            Ok(Fault::EngineLost { at_ms: 100_000 + 500 * i as u64, endpoint })
        })
        .collect()
}

fn outcomes(name: DeploymentName) -> Outcomes {
    let first_classes = Some(0.99);
    match name {
        DeploymentName::RabatSale => Outcomes {
            goodput_of_bound: Some(0.95),
            above_baselines: Some(true),
            first_classes,
            ..Outcomes::default()
        },
        DeploymentName::Budapest => Outcomes {
            changes_of_threshold: Some(0.5),
            goodput_of_threshold: Some(0.98),
            first_classes,
            ..Outcomes::default()
        },
    }
}
