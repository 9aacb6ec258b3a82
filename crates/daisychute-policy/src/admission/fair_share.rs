//! Fair sharing between the tenants of a class.

use std::collections::BTreeMap;
use std::time::Duration;

use daisychute_core::{ClassName, TenantName, Time};

/// Counts the service time that each tenant received in each class.
///
/// A tenant that returns after a pause starts from the lowest counter among the active tenants, so idle time earns no
/// credit (virtual token counters, Sheng et al. 2024). Counters are local to one process, so that the request path
/// reads no global counter. `C` names what the tenants compete for: a class at an agent, a service at a front.
#[derive(Debug, Clone)]
pub struct FairShare<C = ClassName> {
    counters: BTreeMap<(C, TenantName), Counter>,
    /// How long a tenant without requests still counts as active.
    memory: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Counter {
    // Service time that the tenant received.
    service: Duration,
    // Requests that are queued or running. The counter is dropped when this has been zero for the memory.
    active: u32,
    // Since when `active` is known to be zero; `None` while it isn't.
    idle_since: Option<Time>,
}

impl<C> Default for FairShare<C> {
    fn default() -> Self {
        Self { counters: BTreeMap::new(), memory: Duration::ZERO }
    }
}

impl<C: Ord + Clone> FairShare<C> {
    /// Service time by which a tenant may exceed the least served one before its requests are put behind.
    pub const MAX_LEAD: Duration = Duration::from_millis(500);

    /// Creates counters that outlive the last request of a tenant by `memory`. Where requests aren't queued, few tenants
    /// have one at any moment, and without memory each would start anew with each request.
    #[must_use]
    pub fn with_memory(memory: Duration) -> Self {
        Self { memory, ..Self::default() }
    }

    /// Records that a request of this tenant arrived.
    pub fn record_arrival(&mut self, class: &C, tenant: &TenantName) {
        let min_service = self.min_service(class);
        let counter = self.counters.entry((class.clone(), tenant.clone())).or_default();
        if counter.active == 0 {
            counter.service = counter.service.max(min_service);
        }
        counter.active += 1;
        counter.idle_since = None;
    }

    /// Records that a request of this tenant was started and takes `service` of the endpoint's time.
    pub fn record_service(&mut self, class: &C, tenant: &TenantName, service: Duration) {
        if let Some(counter) = self.counters.get_mut(&(class.clone(), tenant.clone())) {
            counter.service += service;
        }
    }

    /// Records that a request of this tenant ended: finished, cancelled or refused.
    pub fn record_end(&mut self, class: &C, tenant: &TenantName) {
        let key = (class.clone(), tenant.clone());
        if let Some(counter) = self.counters.get_mut(&key) {
            counter.active = counter.active.saturating_sub(1);
            if counter.active == 0 && self.memory.is_zero() {
                self.counters.remove(&key);
            }
        }
    }

    /// Drops the counters of tenants that have been without requests for longer than the memory, as seen by earlier calls.
    pub fn expire(&mut self, now: Time) {
        let memory = self.memory;
        self.counters
            .retain(|_, it| it.active > 0 || now.since(*it.idle_since.get_or_insert(now)) < memory);
    }

    /// Returns by how much the deadlines of this tenant's requests are postponed in the queueing order.
    #[must_use]
    pub fn penalty(&self, class: &C, tenant: &TenantName) -> Duration {
        let service = self
            .counters
            .get(&(class.clone(), tenant.clone()))
            .map_or(Duration::ZERO, |it| it.service);
        service.saturating_sub(self.min_service(class) + Self::MAX_LEAD)
    }

    /// The lowest service time among the active tenants of a class.
    fn min_service(&self, class: &C) -> Duration {
        let flows = self.counters.iter().filter(|((it, _), _)| it == class);
        flows.map(|(_, counter)| counter.service).min().unwrap_or_default()
    }
}
