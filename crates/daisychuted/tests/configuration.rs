//! An accepted configuration is in force everywhere within seconds and never reverts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use daisychute_core::{Incarnation, ProcessName, ProcessStatus, Revision};
use daisychute_standin::harness::wait_for;
use daisychute_testbed::{Deployment, Plan, TestbedError, configuration};
use serde_json::json;

const ENTRIES: usize = 6;
const ENGINES: usize = 4;
const SERVICES: usize = 50;
/// How long an accepted configuration may take to be in force everywhere.
const BOUND: Duration = Duration::from_secs(8);
/// How long the fleet may take to recover from an outage with restarts inside it.
const RECOVERY: Duration = Duration::from_secs(30);
/// How long a killed process may take to end.
const END: Duration = Duration::from_secs(5);
/// The exit code of a conflict.
const CONFLICT: i32 = 3;
/// Looks at all daemons while the platform shows an old revision.
const LOOKS: usize = 10;

/// What each start of a process has shown so far.
#[derive(Debug, Default)]
struct Shown(BTreeMap<(ProcessName, Incarnation), Revision>);

impl Shown {
    /// Takes one look at every daemon and fails if one shows a lower revision than before.
    async fn look(&mut self, deployment: &Deployment) -> Vec<Option<ProcessStatus>> {
        let statuses = deployment.statuses().await;
        for status in statuses.iter().flatten() {
            let key = (status.process.clone(), status.incarnation);
            let highest = self.0.entry(key).or_default();
            let present = status.revisions.configuration;
            assert!(present >= *highest, "{} fell from {highest} to {present}", status.process);
            *highest = present;
        }
        statuses
    }

    /// Waits until so many daemons, entries first, have the revision, skipping the first ones; returns when each had.
    async fn wait(
        &mut self,
        deployment: &Deployment,
        revision: Revision,
        limit: Duration,
        counts: impl Fn(usize) -> bool,
    ) -> Result<Vec<Duration>, TestbedError> {
        let start = Instant::now();
        let mut reached = BTreeMap::new();
        let what = format!("every daemon has configuration {revision}");
        let all = async || {
            let statuses = self.look(deployment).await;
            let wanted = (0..statuses.len()).filter(|it| counts(*it)).count();
            for (index, status) in statuses.iter().enumerate().filter(|(it, _)| counts(*it)) {
                if status.as_ref().is_some_and(|it| it.revisions.configuration == revision) {
                    reached.entry(index).or_insert_with(|| start.elapsed());
                }
            }
            (reached.len() == wanted).then_some(())
        };
        let waited = wait_for(&what, limit, all).await;
        let mut spans: Vec<Duration> = reached.into_values().collect();
        spans.sort();
        println!(
            "revision {revision}: {} daemons, median {:?}, last {:?}",
            spans.len(),
            spans.get(spans.len() / 2),
            spans.last()
        );
        waited?;
        Ok(spans)
    }
}

#[test]
fn accepted_configuration_spreads_and_never_reverts() -> Result<(), TestbedError> {
    actix_rt::System::new().block_on(async {
        let plan = Plan::rabat_sale().engines(ENGINES).services(SERVICES).entries(ENTRIES);
        let mut deployment = Deployment::start(plan.shared_standins().log_level("warn")).await?;
        let mut shown = Shown::default();
        let everyone = |_| true;
        shown.wait(&deployment, Revision::new(1), BOUND, everyone).await?;
        for revision in 2..=4 {
            change(&deployment, revision).await?;
            shown.wait(&deployment, Revision::new(revision), BOUND, everyone).await?;
        }
        race(&deployment).await?;
        let revision = Revision::new(5);
        shown.wait(&deployment, revision, BOUND, everyone).await?;
        restart_in_outage(&mut deployment, &mut shown, revision).await?;
        deployment.put_configuration(Revision::new(2), configuration(deployment.plan())?).await?;
        for _ in 0..LOOKS {
            shown.look(&deployment).await;
        }
        deployment.put_configuration(Revision::new(6), configuration(deployment.plan())?).await?;
        shown.wait(&deployment, Revision::new(6), BOUND, everyone).await?;
        Ok(())
    })
}

/// Changes the configuration as an operator does.
async fn change(deployment: &Deployment, revision: u64) -> Result<(), TestbedError> {
    let next = edited(deployment, revision).await?;
    let applied = deployment.apply(&next).await?;
    assert_eq!(applied.code, Some(0), "{}", applied.stderr);
    Ok(())
}

/// The accepted configuration with another deadline.
async fn edited(deployment: &Deployment, seconds: u64) -> Result<String, TestbedError> {
    let got = deployment.operator(["get"]).await?;
    assert_eq!(got.code, Some(0), "{}", got.stderr);
    let edit = |line: &str| match line.strip_prefix("deadline") {
        Some(_) => format!("deadline = {}s\n", 20 + seconds),
        None => format!("{line}\n"),
    };
    Ok(got.stdout.lines().map(edit).collect())
}

/// Two operators start from the same revision: one wins, the other is told of the conflict.
async fn race(deployment: &Deployment) -> Result<(), TestbedError> {
    let (first, second) = (edited(deployment, 21).await?, edited(deployment, 22).await?);
    let applied = tokio::join!(deployment.apply(&first), deployment.apply(&second));
    let mut codes = [applied.0?.code, applied.1?.code];
    codes.sort();
    assert_eq!(codes, [Some(0), Some(CONFLICT)]);
    Ok(())
}

/// Restarts two entries and half of the agents while the platform is down. The agents get the configuration from the
/// other entries; the entries, which have no list of the endpoints, get it with the platform's return.
async fn restart_in_outage(
    deployment: &mut Deployment,
    shown: &mut Shown,
    revision: Revision,
) -> Result<(), TestbedError> {
    platform_outage(deployment, true).await?;
    for index in 0..2 {
        let entry = deployment.entry_mut(index);
        entry.process().kill()?;
        entry.process().wait_exit(END).await?;
        entry.restart()?;
    }
    for agent in deployment.agents_mut().iter_mut().step_by(2) {
        agent.process().kill()?;
        agent.process().wait_exit(END).await?;
        agent.restart()?;
    }
    println!("outage, 2 entries and {} agents restarted", (ENGINES + SERVICES) / 2);
    shown.wait(deployment, revision, RECOVERY, |it| it >= 2).await?;
    platform_outage(deployment, false).await?;
    println!("the platform is back");
    shown.wait(deployment, revision, RECOVERY, |_| true).await?;
    Ok(())
}

async fn platform_outage(deployment: &Deployment, outage: bool) -> Result<(), TestbedError> {
    deployment.platform().post("/_standin/faults", &json!({ "outage": outage })).await?;
    Ok(())
}
