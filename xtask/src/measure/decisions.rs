//! `cargo xtask measure decisions`: mean time of one admission, one endpoint selection and one role plan in a large
//! deployment.

use std::hint::black_box;
use std::time::{Duration, Instant};

use daisychute_core::{
    ClassName, DataCentreName, EndpointName, Incarnation, LoadReport, ModelName, NameError,
    Precedence, Preference, RequestId, Role, TenantName, Time,
};
use daisychute_policy::{
    AdmissionController, AdmissionRequest, Candidate, Decision, Demand, DemandTable, EngineView,
    Fleet, Limits, RolePlanner, SelectionQuery, Selector,
};

use crate::XtaskError;

const ENDPOINTS: usize = 620;
const MODELS: usize = 12;
const DATA_CENTRES: usize = 7;
const TENANTS: usize = 390;
/// Number of decisions that each mean is taken over.
const ADMISSIONS: u64 = 200_000;
const SELECTIONS: u64 = 20_000;
const PLANS: u64 = 200;
/// Seed of the generator that draws candidates, so that each run makes the same decisions.
const SEED: u64 = 7;

pub(crate) fn run() -> Result<(), XtaskError> {
    println!("{:<28} {:>12}", "decision", "ns");
    print_mean("admission", ADMISSIONS, time_admissions()?);
    print_mean("choice over 620 endpoints", SELECTIONS, time_selections()?);
    print_mean("plan over 620 endpoints", PLANS, time_plans()?);
    Ok(())
}

fn print_mean(decision: &str, count: u64, total: Duration) {
    println!("{decision:<28} {:>12}", total.as_nanos() / u128::from(count));
}

/// Times submission, first token, one more token and end of each request, on an engine with 40 other requests.
fn time_admissions() -> Result<Duration, NameError> {
    const OTHERS: u64 = 40;
    let class = ClassName::try_from("line-match")?;
    let tenants: Vec<TenantName> = (0..TENANTS)
        .map(|it| TenantName::try_from(format!("firm-{it}")))
        .collect::<Result<_, _>>()?;
    let mut admission = AdmissionController::new(Limits::engine(Role::Mixed));
    let request = |seq: u64, now: Time| {
        let tenant = tenants[seq as usize % TENANTS].clone();
        AdmissionRequest::new(RequestId::new(Incarnation::new(1), seq), tenant, class.clone())
            .precedence(Precedence::Interactive)
            .deadline(now + Duration::from_secs(60))
            .first_token(now + Duration::from_millis(1_700))
            .prompt_tokens(1_000)
            .max_tokens(200)
    };
    for seq in 0..OTHERS {
        let now = Time::from_millis(seq);
        let id = RequestId::new(Incarnation::new(1), seq);
        if admission.submit(now, request(seq, now)) == Decision::Admitted {
            admission.first_token(now, id, 1_000);
        }
    }
    let started = Instant::now();
    for seq in OTHERS..OTHERS + ADMISSIONS {
        let now = Time::from_micros(100_000 + seq * 20_000);
        let id = RequestId::new(Incarnation::new(1), seq);
        black_box(admission.submit(now, request(seq, now)));
        admission.first_token(now, id, 0);
        admission.token(now, id);
        admission.finished(now, id);
    }
    Ok(started.elapsed())
}

fn time_selections() -> Result<Duration, NameError> {
    use rand::SeedableRng;
    let models = models()?;
    let mut selector = Selector::new();
    for view in engines(&models)? {
        let candidate = Candidate::engine(view.endpoint.clone(), view.data_centre, view.model)
            .role(view.role)
            .distance(Duration::from_micros(1_500));
        selector.upsert(Time::ZERO, candidate);
        let report = LoadReport {
            running: 30,
            wait: Duration::from_millis(50),
            prompt_token: Duration::from_micros(110),
            between_tokens: Duration::from_millis(25),
            pending_output_tokens: 6_000,
            ..LoadReport::default()
        };
        selector.update_load(Time::from_millis(1), &view.endpoint, report);
    }
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(SEED);
    let started = Instant::now();
    for i in 0..SELECTIONS {
        let model = &models[i as usize % MODELS];
        let blocks: [u64; 8] = std::array::from_fn(|it| (i % 97) * 1_000 + it as u64);
        let query = SelectionQuery::model(model)
            .prompt(2_000, &blocks)
            .output_tokens(200)
            .between_tokens(Duration::from_millis(39));
        black_box(
            selector.select(Time::from_micros(10_000 + i * 70_000), &query, &mut rng).is_ok(),
        );
    }
    Ok(started.elapsed())
}

fn time_plans() -> Result<Duration, NameError> {
    let models = models()?;
    let fleet = Fleet { engines: engines(&models)? };
    let mut planner = RolePlanner::new(Preference::Goodput);
    let started = Instant::now();
    for i in 0..PLANS {
        let now = Time::from_millis(i * 2_000);
        let mut demand =
            DemandTable { as_of: now, heard: 7, expected: 7, ..DemandTable::default() };
        for (j, model) in models.iter().enumerate() {
            let shift = f64::from(u8::from((i + j as u64) % 40 < 20)) * 12.0;
            let value = Demand { prefill: 10.0 + shift, decode: 24.0 - shift, ..Demand::default() };
            demand.models.insert(model.clone(), value);
        }
        black_box(planner.plan(now, &fleet, &demand));
    }
    Ok(started.elapsed())
}

fn models() -> Result<Vec<ModelName>, NameError> {
    (0..MODELS).map(|it| ModelName::try_from(format!("model-{it}"))).collect()
}

fn engines(models: &[ModelName]) -> Result<Vec<EngineView>, NameError> {
    let engine = |i: usize| {
        Ok(EngineView {
            endpoint: EndpointName::try_from(format!("engine-{i}"))?,
            data_centre: DataCentreName::try_from(format!("dc-{}", i / MODELS % DATA_CENTRES))?,
            model: models[i % MODELS].clone(),
            role: if (i / MODELS).is_multiple_of(2) { Role::Prefill } else { Role::Decode },
            changing: false,
            live: true,
            running: 30,
            cache_seconds: 4.0,
        })
    };
    (0..ENDPOINTS).map(engine).collect()
}
