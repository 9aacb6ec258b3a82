//! An accepted configuration is in force in every daemon within seconds and is never replaced by an older one.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use daisychute_core::{Incarnation, ProcessName, ProcessStatus, Revision};
use daisychute_standin::harness::wait_for;
use daisychute_testbed::{Deployment, DeploymentSpec, TestbedError, configuration};
use serde_json::json;

const ENTRIES: usize = 6;
const ENGINES: usize = 4;
const SERVICES: usize = 50;
/// How long an accepted configuration may take to be in force everywhere.
const MAX_PROPAGATION: Duration = Duration::from_secs(8);
/// How long the fleet may take to recover from a platform outage during which daemons were restarted.
const RECOVERY: Duration = Duration::from_secs(30);
/// How long a killed process may take to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Exit code of the CLI on a write conflict.
const CONFLICT_EXIT_CODE: i32 = 3;
/// Number of status polls while the platform store has an old revision.
const STATUS_POLLS: usize = 10;

/// The highest configuration revision that each start of a process has reported.
#[derive(Debug, Default)]
struct HighestRevisions(BTreeMap<(ProcessName, Incarnation), Revision>);

impl HighestRevisions {
    /// Reads the status of every daemon and fails if one reports a lower revision than before.
    async fn check(&mut self, deployment: &Deployment) -> Vec<Option<ProcessStatus>> {
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

    /// Waits until every daemon whose index `counts` accepts (entries come first) has the revision. Returns how long
    /// each took, ascending.
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
            let statuses = self.check(deployment).await;
            let wanted = (0..statuses.len()).filter(|it| counts(*it)).count();
            for (index, status) in statuses.iter().enumerate().filter(|(it, _)| counts(*it)) {
                if status.as_ref().is_some_and(|it| it.revisions.configuration == revision) {
                    reached.entry(index).or_insert_with(|| start.elapsed());
                }
            }
            (reached.len() == wanted).then_some(())
        };
        let waited = wait_for(&what, limit, all).await;
        let mut delays: Vec<Duration> = reached.into_values().collect();
        delays.sort();
        println!(
            "revision {revision}: {} daemons, median {:?}, last {:?}",
            delays.len(),
            delays.get(delays.len() / 2),
            delays.last()
        );
        waited?;
        Ok(delays)
    }
}

#[test]
fn accepted_configuration_spreads_and_never_reverts() -> Result<(), TestbedError> {
    actix_rt::System::new().block_on(async {
        let spec =
            DeploymentSpec::rabat_sale().engines(ENGINES).services(SERVICES).entries(ENTRIES);
        let mut deployment = Deployment::start(spec.shared_standins().log_level("warn")).await?;
        let mut reported = HighestRevisions::default();
        let every_daemon = |_| true;
        reported.wait(&deployment, Revision::new(1), MAX_PROPAGATION, every_daemon).await?;
        for revision in 2..=4 {
            apply_change(&deployment, revision).await?;
            reported
                .wait(&deployment, Revision::new(revision), MAX_PROPAGATION, every_daemon)
                .await?;
        }
        apply_concurrently(&deployment).await?;
        let revision = Revision::new(5);
        reported.wait(&deployment, revision, MAX_PROPAGATION, every_daemon).await?;
        restart_in_outage(&mut deployment, &mut reported, revision).await?;
        deployment.put_configuration(Revision::new(2), configuration(deployment.spec())?).await?;
        for _ in 0..STATUS_POLLS {
            reported.check(&deployment).await;
        }
        deployment.put_configuration(Revision::new(6), configuration(deployment.spec())?).await?;
        reported.wait(&deployment, Revision::new(6), MAX_PROPAGATION, every_daemon).await?;
        Ok(())
    })
}

/// Changes the configuration through the CLI, as an operator does.
async fn apply_change(deployment: &Deployment, revision: u64) -> Result<(), TestbedError> {
    let next = with_deadline(deployment, revision).await?;
    let applied = deployment.apply(&next).await?;
    assert_eq!(applied.code, Some(0), "{}", applied.stderr);
    Ok(())
}

/// The accepted configuration with the deadline changed.
async fn with_deadline(deployment: &Deployment, seconds: u64) -> Result<String, TestbedError> {
    let got = deployment.operator(["get"]).await?;
    assert_eq!(got.code, Some(0), "{}", got.stderr);
    let replace_deadline = |line: &str| match line.strip_prefix("deadline") {
        Some(_) => format!("deadline = {}s\n", 20 + seconds),
        None => format!("{line}\n"),
    };
    Ok(got.stdout.lines().map(replace_deadline).collect())
}

/// Two operators edit the same revision: one succeeds, the other gets a conflict.
async fn apply_concurrently(deployment: &Deployment) -> Result<(), TestbedError> {
    let (first, second) =
        (with_deadline(deployment, 21).await?, with_deadline(deployment, 22).await?);
    let applied = tokio::join!(deployment.apply(&first), deployment.apply(&second));
    let mut codes = [applied.0?.code, applied.1?.code];
    codes.sort();
    assert_eq!(codes, [Some(0), Some(CONFLICT_EXIT_CODE)]);
    Ok(())
}

/// Restarts two entries and half of the agents while the platform is down. The agents get the configuration from the
/// other entries. The restarted entries, which can't read the list of endpoints, get it when the platform is back.
async fn restart_in_outage(
    deployment: &mut Deployment,
    reported: &mut HighestRevisions,
    revision: Revision,
) -> Result<(), TestbedError> {
    platform_outage(deployment, true).await?;
    for index in 0..2 {
        let entry = deployment.entry_mut(index);
        entry.process().kill()?;
        entry.process().wait_exit(EXIT_TIMEOUT).await?;
        entry.restart()?;
    }
    for agent in deployment.agents_mut().iter_mut().step_by(2) {
        agent.process().kill()?;
        agent.process().wait_exit(EXIT_TIMEOUT).await?;
        agent.restart()?;
    }
    println!("outage, 2 entries and {} agents restarted", (ENGINES + SERVICES) / 2);
    reported.wait(deployment, revision, RECOVERY, |it| it >= 2).await?;
    platform_outage(deployment, false).await?;
    println!("the platform is back");
    reported.wait(deployment, revision, RECOVERY, |_| true).await?;
    Ok(())
}

async fn platform_outage(deployment: &Deployment, outage: bool) -> Result<(), TestbedError> {
    deployment.platform().post("/_standin/faults", &json!({ "outage": outage })).await?;
    Ok(())
}
