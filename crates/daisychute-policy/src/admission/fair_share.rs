//! Fair sharing between the tenants of a class.

use std::collections::BTreeMap;
use std::time::Duration;

use daisychute_core::{ClassName, TenantName};

/// The requests of one tenant in one class.
type Flow = (ClassName, TenantName);

/// Counts the service time that each tenant received in each class.
///
/// A tenant that returns after a pause starts from the lowest counter among the active tenants, so idle time earns no
/// credit (virtual token counters, Sheng et al. 2024). Counters are local to one endpoint, so that the request path
/// reads no global counter.
#[derive(Debug, Clone, Default)]
pub struct FairShare {
    counters: BTreeMap<Flow, Counter>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Counter {
    // Service time that the tenant received.
    service: Duration,
    // Requests that are queued or running. The counter is dropped when this reaches zero.
    active: u32,
}

impl FairShare {
    /// Service time by which a tenant may exceed the least served one before its deadlines are postponed.
    pub const MAX_LEAD: Duration = Duration::from_millis(500);

    /// Records that a request of this tenant arrived.
    pub fn record_arrival(&mut self, class: &ClassName, tenant: &TenantName) {
        let min_service = self.min_service(class);
        let counter = self.counters.entry((class.clone(), tenant.clone())).or_default();
        if counter.active == 0 {
            counter.service = counter.service.max(min_service);
        }
        counter.active += 1;
    }

    /// Records that a request of this tenant was started and takes `service` of the endpoint's time.
    pub fn record_service(&mut self, class: &ClassName, tenant: &TenantName, service: Duration) {
        if let Some(counter) = self.counters.get_mut(&(class.clone(), tenant.clone())) {
            counter.service += service;
        }
    }

    /// Records that a request of this tenant ended: finished, cancelled or refused from the queue.
    pub fn record_end(&mut self, class: &ClassName, tenant: &TenantName) {
        let key = (class.clone(), tenant.clone());
        if let Some(counter) = self.counters.get_mut(&key) {
            counter.active = counter.active.saturating_sub(1);
            if counter.active == 0 {
                self.counters.remove(&key);
            }
        }
    }

    /// Returns by how much the deadlines of this tenant's requests are postponed in the queueing order.
    #[must_use]
    pub fn penalty(&self, class: &ClassName, tenant: &TenantName) -> Duration {
        let service = self
            .counters
            .get(&(class.clone(), tenant.clone()))
            .map_or(Duration::ZERO, |it| it.service);
        service.saturating_sub(self.min_service(class) + Self::MAX_LEAD)
    }

    /// The lowest service time among the active tenants of a class.
    fn min_service(&self, class: &ClassName) -> Duration {
        let flows =
            self.counters.iter().filter(|((it, _), counter)| it == class && counter.active > 0);
        flows.map(|(_, counter)| counter.service).min().unwrap_or_default()
    }
}
