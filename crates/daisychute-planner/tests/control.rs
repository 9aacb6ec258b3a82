//! Tests of the control shell against a stand-in platform; the processes exchange frames in memory.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use daisychute_core::{
    Configuration, EngineTarget, Incarnation, ProcessName, ProcessRole, ProcessState,
    ProcessStatus, Revision, Role, Term,
};
use daisychute_planner::{Control, ControlOutput, ControlSettings, PlanChange};
use daisychute_standin::Platform;
use daisychute_standin::platform::{Faults, PlatformConfig};
use daisychute_store::{ClientSettings, ConfigurationDocument, LeaseSettings, ObjectClient};
use serde_json::json;
use tokio::sync::mpsc::UnboundedReceiver;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A process: its control shell and the outputs received from it.
struct Process {
    control: Control,
    outputs: UnboundedReceiver<ControlOutput>,
    plans: Vec<Revision>,
    configurations: Vec<Revision>,
    confirmed: Vec<Option<Revision>>,
}

/// A platform and processes that are all connected to each other.
struct Region {
    platform: Platform,
    processes: BTreeMap<ProcessName, Process>,
}

impl Region {
    async fn start() -> Self {
        let addr = "127.0.0.1:0".parse().unwrap();
        let platform = Platform::start(addr, PlatformConfig::default()).await.unwrap();
        Self { platform, processes: BTreeMap::new() }
    }

    fn add(&mut self, name: &str, incarnation: u64) {
        let mut settings = ControlSettings::entry(
            "signs".try_into().unwrap(),
            "morocco".try_into().unwrap(),
            "agdal".try_into().unwrap(),
            name.try_into().unwrap(),
            Incarnation::new(incarnation),
        );
        settings = settings.lease(fast_lease()).status_interval(Duration::from_millis(600));
        if name.starts_with("agent") {
            settings = settings.agent();
        }
        let url = format!("http://{}", self.platform.local_addr());
        let (control, outputs) =
            Control::start(settings, ObjectClient::new(ClientSettings::new(url)));
        let process = Process {
            control,
            outputs,
            plans: Vec::new(),
            configurations: Vec::new(),
            confirmed: Vec::new(),
        };
        self.processes.insert(name.try_into().unwrap(), process);
    }

    fn get(&self, name: &str) -> &Process {
        &self.processes[name]
    }

    fn holder(&self) -> Option<(ProcessName, Term)> {
        self.processes.iter().find_map(|(name, it)| Some((name.clone(), it.control.term()?)))
    }

    fn apply_configuration(&self, revision: u64) {
        let configuration = Configuration::default();
        let document = ConfigurationDocument { revision: Revision::new(revision), configuration };
        self.platform.put("configurations", "signs", serde_json::to_value(document).unwrap());
    }

    /// Forwards frames and revisions between the processes until `condition` is true.
    async fn wait_until(&mut self, what: &str, condition: impl Fn(&Self) -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !condition(self) {
            assert!(Instant::now() < deadline, "not within {WAIT_TIMEOUT:?}: {what}");
            self.exchange_frames();
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn exchange_frames(&mut self) {
        let names: Vec<_> = self.processes.keys().cloned().collect();
        for name in &names {
            while let Ok(output) = self.processes.get_mut(name).unwrap().outputs.try_recv() {
                self.handle_output(name, output);
            }
            let revisions = self.processes[name].control.revisions();
            for other in names.iter().filter(|it| *it != name) {
                self.processes[other].control.peer_revisions(name, revisions);
            }
        }
    }

    fn handle_output(&mut self, name: &ProcessName, output: ControlOutput) {
        let process = self.processes.get_mut(name).unwrap();
        match output {
            ControlOutput::Frame { peer, frame } => {
                if let Some(peer) = self.processes.get(&peer) {
                    peer.control.frame_from_peer(name, *frame);
                }
            }
            ControlOutput::Configuration { revision, .. } => process.configurations.push(revision),
            ControlOutput::Plan(plan) => process.plans.push(plan.revision),
            ControlOutput::PlanConfirmed(revision) => process.confirmed.push(revision),
            ControlOutput::StatusDue => process.control.publish_status(status(name)),
            ControlOutput::Rejected { .. } | ControlOutput::Planner(_) => {}
        }
    }
}

fn fast_lease() -> LeaseSettings {
    LeaseSettings {
        duration: Duration::from_millis(1_500),
        margin: Duration::from_millis(300),
        renew_interval: Duration::from_millis(300),
        poll_interval: Duration::from_millis(300),
        ..LeaseSettings::default()
    }
}

fn status(name: &ProcessName) -> ProcessStatus {
    let is_agent = name.as_str().starts_with("agent");
    ProcessStatus {
        process: name.clone(),
        role: if is_agent { ProcessRole::Agent } else { ProcessRole::Entry },
        incarnation: Incarnation::new(1),
        region: "morocco".try_into().unwrap(),
        data_centre: "agdal".try_into().unwrap(),
        instance: "i-1".try_into().unwrap(),
        state: ProcessState::Ready,
        duties: Vec::new(),
        revisions: Default::default(),
        platform_heard: None,
        in_flight: 0,
        endpoints: Vec::new(),
        peers: Vec::new(),
    }
}

fn change_model(model: &str) -> PlanChange {
    let target = EngineTarget {
        role: Role::Mixed,
        model: model.try_into().unwrap(),
        version: "1".try_into().unwrap(),
        adapter: None,
    };
    PlanChange::Target { endpoint: "clerk-lm-1".try_into().unwrap(), target }
}

fn run<T>(test: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(test)
}

#[test]
fn a_configuration_reaches_all_and_a_process_that_starts_in_an_outage() {
    run(async {
        let mut region = Region::start().await;
        for name in ["entry-1", "entry-2", "agent-1"] {
            region.add(name, 1);
        }
        let all_have = |revision: u64| {
            move |it: &Region| {
                let revision = Revision::new(revision);
                it.processes.values().all(|it| it.control.revisions().configuration == revision)
            }
        };
        region.apply_configuration(1);
        region.wait_until("revision 1 everywhere", all_have(1)).await;
        region.apply_configuration(2);
        region.wait_until("revision 2 everywhere", all_have(2)).await;
        region.platform.set_faults(Faults { outage: true, ..Faults::default() });
        region.add("entry-3", 1);
        region.wait_until("revision 2 in the new process", all_have(2)).await;
        region.platform.set_faults(Faults::default());
        region.apply_configuration(1);
        region.apply_configuration(3);
        region.wait_until("revision 3 everywhere", all_have(3)).await;
        for process in region.processes.values() {
            assert!(process.configurations.is_sorted(), "{:?}", process.configurations);
        }
    });
}

#[test]
fn a_requested_change_and_a_drain_are_planned_and_a_new_holder_continues() {
    run(async {
        let mut region = Region::start().await;
        for name in ["entry-1", "entry-2", "agent-1"] {
            region.add(name, 1);
        }
        region.wait_until("a holder", |it| it.holder().is_some()).await;
        let (first_holder, first_term) = region.holder().unwrap();
        region.get(first_holder.as_str()).control.request_change(change_model("clerk-lm"));
        region.platform.put("drains", "morocco", json!({"endpoints": {"clerk-lm-2": true}}));
        let planned = |it: &Region| {
            let plan = it.get("agent-1").control.plan().unwrap_or_default();
            plan.endpoints.get("clerk-lm-1").is_some_and(|it| it.target.is_some())
                && plan.endpoints.get("clerk-lm-2").is_some_and(|it| it.drain)
        };
        region.wait_until("the plan at the agent", planned).await;

        region.platform.set_faults(Faults { lose_answers: 3, ..Faults::default() });
        region.processes.remove(&first_holder);
        region.wait_until("another holder", |it| it.holder().is_some()).await;
        let (second_holder, second_term) = region.holder().unwrap();
        assert!(second_term > first_term, "{second_term} after {first_term}");
        region.get(second_holder.as_str()).control.request_change(change_model("clerk-xl"));
        let replanned = |it: &Region| {
            let plan = it.get("agent-1").control.plan().unwrap_or_default();
            plan.term >= second_term && plan.endpoints.len() == 2
        };
        region.wait_until("a plan of the later term", replanned).await;

        region.get("agent-1").control.confirm_plan();
        region.wait_until("a confirmation", |it| !it.get("agent-1").confirmed.is_empty()).await;
        assert!(region.get("agent-1").confirmed[0].is_some());
        assert!(region.get("agent-1").plans.is_sorted());
    });
}
