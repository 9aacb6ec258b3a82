//! Applies scheduled faults, operator actions and plan change requests to the simulation.

use std::time::Duration;

use daisychute_core::{Class, ClassName, Configuration, Precedence, Revision};
use daisychute_planner::{PlanChange, PlannerEvent};
use daisychute_store::{ConfigurationDocument, Object, ObjectKind, ReadOutcome, WriteId};
use rand::Rng;

use super::World;
use super::engine::target;
use super::message::Msg;
use super::node::Node;
use super::schedule::{AGENTS, Act, ENTRIES};

impl World {
    pub(super) fn act(&mut self, act: Act) {
        self.note(|| format!("{act:?}"));
        let until = |ms: u64| self.now + Duration::from_millis(ms);
        match act {
            Act::Kill { node, ms } => self.kill(node, ms),
            Act::Pause { node, ms } => self.nodes[node].paused_until = until(ms),
            Act::Cut { node, ms } => {
                self.nodes[node].partitioned_until = until(ms);
                self.end_watches(node..node + 1);
            }
            Act::Outage { ms } => {
                self.outage_until = until(ms);
                self.end_watches(0..ENTRIES + AGENTS);
            }
            Act::LoseAnswers { ms } => self.losing_results_until = until(ms),
            Act::StepClock { entry, ms } => self.nodes[entry].skew += ms * 1_000,
            Act::CrashEngine { engine } => self.engines[engine].crash(self.now),
            Act::FailChange { engine } => self.engines[engine].fail_next_change(),
            Act::Apply { operators } => self.apply(operators),
            Act::Drain { engine, drain } => self.request_drain(engine, drain),
            Act::RequestChange { engine, model } => self.request_change(engine, model),
        }
    }

    fn kill(&mut self, node: usize, ms: u64) {
        let incarnation = self.nodes[node].incarnation + 1;
        let seed = self.rng.next_u64() >> 1;
        let restart = self.now + Duration::from_millis(ms);
        self.nodes[node] = Node { alive: false, ..Node::new(node, incarnation, restart, seed) };
        if node >= ENTRIES {
            self.engines[node - ENTRIES].busy_until = self.now;
        }
        self.push(Duration::from_millis(ms), Msg::Start(node));
    }

    /// Lets `operators` operators read the same configuration; each then writes a change of what it read.
    fn apply(&mut self, operators: usize) {
        let read = self.store.read(ObjectKind::Configurations);
        for operator in 0..operators {
            let object = changed_configuration(&read, operator, self.now.as_micros());
            let span = self.random_span(1, 500);
            self.push(span, Msg::LateWrite(Box::new(object)));
        }
    }

    fn request_drain(&mut self, engine: usize, drain: bool) {
        let endpoint = self.engines[engine].endpoint.clone();
        if drain {
            self.drains.insert(endpoint);
        } else {
            self.drains.remove(&endpoint);
        }
    }

    fn request_change(&mut self, engine: usize, model: u8) {
        let endpoint = self.engines[engine].endpoint.clone();
        for node in 0..ENTRIES {
            let change = PlanChange::Target { endpoint: endpoint.clone(), target: target(model) };
            let running = self.nodes[node].alive && self.nodes[node].paused_until <= self.now;
            if running {
                self.planner(node, PlannerEvent::PlanChangeRequested(change));
            }
        }
    }
}

/// Creates the successor of the configuration that was read, with a class named after the writer.
fn changed_configuration(read: &ReadOutcome, operator: usize, write: u64) -> Object {
    let found = match read {
        ReadOutcome::Found(object) => Some(object),
        _ => None,
    };
    let before = found.and_then(|it| it.parse::<ConfigurationDocument>().ok());
    let revision = before.map_or(Revision::ZERO, |it| it.revision).next();
    let class = ClassName::try_from(format!("operator-{operator}-{revision}")).unwrap();
    let mut configuration = Configuration::default();
    configuration.classes.insert(class.clone(), Class::new(class, Precedence::Interactive));
    let document = ConfigurationDocument { revision, configuration };
    let version = found.and_then(|it| it.metadata.resource_version.clone());
    let writer = format!("operator-{operator}");
    Object::new(ObjectKind::Configurations, "deployment", serde_json::to_value(document).unwrap())
        .version(version)
        .set_write_id(&WriteId { writer: writer.into(), write })
}
