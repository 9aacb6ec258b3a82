//! Shares of tenants within a class.

use std::collections::BTreeMap;
use std::time::Duration;

use daisychute_core::{ClassName, TenantName};

type Flow = (ClassName, TenantName);

/// Counts the service that each tenant had in each class.
///
/// A tenant that comes back after a pause starts from the least counter among the active ones, so that a pause
/// earns no credit (virtual token counters, Sheng et al. 2024). Counters are local to one endpoint: no global
/// counter is read on the request path.
#[derive(Debug, Clone, Default)]
pub struct FairShare {
    counters: BTreeMap<Flow, Counter>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Counter {
    served: Duration,
    // Requests that wait or run. A counter without any is dropped.
    active: u32,
}

impl FairShare {
    /// A tenant may be ahead of the least served one by this much before its requests are put later.
    pub const SLACK: Duration = Duration::from_millis(500);

    /// A request of this tenant arrived.
    pub fn arrived(&mut self, class: &ClassName, tenant: &TenantName) {
        let least = self.least(class);
        let counter = self.counters.entry((class.clone(), tenant.clone())).or_default();
        if counter.active == 0 {
            counter.served = counter.served.max(least);
        }
        counter.active += 1;
    }

    /// A request of this tenant was started and takes `service` of the endpoint's time.
    pub fn served(&mut self, class: &ClassName, tenant: &TenantName, service: Duration) {
        if let Some(counter) = self.counters.get_mut(&(class.clone(), tenant.clone())) {
            counter.served += service;
        }
    }

    /// A request of this tenant is over.
    pub fn left(&mut self, class: &ClassName, tenant: &TenantName) {
        let key = (class.clone(), tenant.clone());
        if let Some(counter) = self.counters.get_mut(&key) {
            counter.active = counter.active.saturating_sub(1);
            if counter.active == 0 {
                self.counters.remove(&key);
            }
        }
    }

    /// By how much this tenant's next request is put later.
    #[must_use]
    pub fn penalty(&self, class: &ClassName, tenant: &TenantName) -> Duration {
        let served = self
            .counters
            .get(&(class.clone(), tenant.clone()))
            .map_or(Duration::ZERO, |it| it.served);
        served.saturating_sub(self.least(class) + Self::SLACK)
    }

    fn least(&self, class: &ClassName) -> Duration {
        let flows =
            self.counters.iter().filter(|((it, _), counter)| it == class && counter.active > 0);
        flows.map(|(_, counter)| counter.served).min().unwrap_or_default()
    }
}
