//! Simulated process: an entry with lease and planner, or an agent with its order state machine, and the replicas.

use daisychute_agent::orders::{OrderSettings, Orders};
use daisychute_core::{
    Configuration, EndpointKind, Incarnation, Plan, ProcessName, RegionName, Revision, Time,
};
use daisychute_planner::{Planner, PlannerSettings};
use daisychute_store::{Holder, Lease, LeaseSettings, Replica, ReplicaSettings, WriteId};

use super::schedule::ENTRIES;

/// State machines of an entry.
#[derive(Debug)]
pub(crate) struct EntryCores {
    pub(crate) lease: Lease,
    pub(crate) planner: Planner,
}

/// State machines that depend on the kind of process.
#[derive(Debug)]
pub(crate) enum Cores {
    Entry(Box<EntryCores>),
    Agent(Box<Orders>),
}

/// A simulated process.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) name: ProcessName,
    /// Incarnation number; messages to an earlier incarnation are dropped.
    pub(crate) incarnation: u64,
    pub(crate) alive: bool,
    pub(crate) paused_until: Time,
    /// End of the current network partition of this process.
    pub(crate) partitioned_until: Time,
    /// Offset of its clock ahead of simulation time, in microseconds.
    pub(crate) skew: u64,
    pub(crate) wake_at: Option<Time>,
    /// Whether the agent admits requests to its engine.
    pub(crate) admits: bool,
    pub(crate) cores: Cores,
    pub(crate) configuration: Replica<Configuration>,
    pub(crate) plan: Replica<Plan>,
    /// Configuration revision that last took effect.
    pub(crate) in_force: Revision,
}

pub(crate) fn region() -> RegionName {
    RegionName::try_from("morocco").unwrap()
}

pub(crate) fn order_settings() -> OrderSettings {
    let span = std::time::Duration::from_millis;
    OrderSettings {
        order_lifetime: span(8_000),
        first_retry: span(500),
        longest_retry: span(2_000),
        check_interval: span(2_000),
        ..OrderSettings::default()
    }
}

impl Node {
    pub(crate) fn new(index: usize, incarnation: u64, now: Time, seed: u64) -> Self {
        let is_entry = index < ENTRIES;
        let name = if is_entry { format!("entry-{index}") } else { format!("agent-{index}") };
        let name = ProcessName::try_from(name).unwrap();
        let cores = if is_entry {
            Cores::Entry(Box::new(entry_cores(&name, incarnation, seed)))
        } else {
            let orders = Orders::new(order_settings(), &EndpointKind::Engine, now, seed);
            Cores::Agent(Box::new(orders))
        };
        Self {
            name,
            incarnation,
            alive: true,
            paused_until: Time::ZERO,
            partitioned_until: Time::ZERO,
            skew: 0,
            wake_at: None,
            admits: false,
            cores,
            configuration: Replica::new(ReplicaSettings::default(), seed),
            plan: Replica::new(ReplicaSettings::default(), seed + 1),
            in_force: Revision::ZERO,
        }
    }
}

fn entry_cores(name: &ProcessName, incarnation: u64, seed: u64) -> EntryCores {
    let holder = Holder { process: name.clone(), incarnation: Incarnation::new(incarnation) };
    let lease_write_id = WriteId::first(format!("{name}/{incarnation}/lease"));
    let plan_write_id = WriteId::first(format!("{name}/{incarnation}/plan"));
    let settings = PlannerSettings { max_weight_loads: 2, ..PlannerSettings::default() };
    EntryCores {
        lease: Lease::new(
            LeaseSettings::default(),
            region().as_str(),
            holder,
            lease_write_id,
            seed,
        ),
        planner: Planner::new(settings, region(), plan_write_id, seed),
    }
}
