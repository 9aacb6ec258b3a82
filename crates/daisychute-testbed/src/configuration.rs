//! The initial configuration of a deployment.

use std::collections::BTreeSet;
use std::time::Duration;

use daisychute_core::{
    Class, ClassTargets, Configuration, Model, NameError, Precedence, Preference, Route, RouteKind,
    Service, Tenant,
};

use crate::DeploymentSpec;

const CONTEXT_TOKENS: u32 = 32_768;
const KV_BYTES_PER_TOKEN: u32 = 131_072;

/// The configuration that a deployment with this specification starts with.
///
/// It has the classes `panel` (precedence first), `desk` (interactive) and `digest` (may wait), the tenant `clerks`, who
/// may use all three, and the model and the service of the specification. The service's route `/counts` is
/// non-repeatable.
///
/// # Errors
///
/// The specification has an invalid name.
pub fn configuration(spec: &DeploymentSpec) -> Result<Configuration, NameError> {
    let mut cfg = Configuration { preference: Preference::Goodput, ..Configuration::default() };
    for class in classes()? {
        cfg.classes.insert(class.name.clone(), class);
    }
    let tenant = Tenant {
        name: "clerks".try_into()?,
        token: None,
        default_class: "desk".try_into()?,
        classes: cfg.classes.keys().cloned().collect(),
    };
    cfg.tenants.insert(tenant.name.clone(), tenant);
    let model = Model {
        name: spec.model.try_into()?,
        version: "1".try_into()?,
        adapters: BTreeSet::new(),
        context_tokens: CONTEXT_TOKENS,
        kv_bytes_per_token: KV_BYTES_PER_TOKEN,
    };
    cfg.models.insert(model.name.clone(), model);
    let service = service(spec)?;
    cfg.services.insert(service.name.clone(), service);
    Ok(cfg)
}

fn classes() -> Result<[Class; 3], NameError> {
    let panel = ClassTargets { deadline: Some(Duration::from_secs(10)), ..ClassTargets::default() };
    let desk = ClassTargets { deadline: Some(Duration::from_secs(30)), ..ClassTargets::default() };
    Ok([
        Class::new("panel".try_into()?, Precedence::First).targets(panel),
        Class::new("desk".try_into()?, Precedence::Interactive).targets(desk),
        Class::new("digest".try_into()?, Precedence::MayWait),
    ])
}

fn service(spec: &DeploymentSpec) -> Result<Service, NameError> {
    let panel = Some("panel".try_into()?);
    Ok(Service {
        name: spec.service.try_into()?,
        routes: vec![
            Route { path: "/panels".to_owned(), kind: RouteKind::Repeatable, class: panel.clone() },
            Route { path: "/counts".to_owned(), kind: RouteKind::NonRepeatable, class: panel },
        ],
    })
}
