//! Fair refusals between the tenants of a service that is short of room.
//!
//! Endpoints queue the requests of all tenants together, so a tenant that sends far more than others lengthens the wait of
//! all, and without this rule all are refused alike.

use std::time::Duration;

use daisychute_core::{ServiceName, TenantName, Time};
use daisychute_policy::admission::FairShare;
use rustc_hash::FxHashMap;

use crate::core::request_state::RequestState;
use crate::{Dispatcher, RequestKey};

/// How long a tenant without requests still counts as one that competes for room.
const TENANT_MEMORY: Duration = Duration::from_secs(5);
/// How long a service counts as contended after a request of a tenant within its share was refused for overload.
const CONTENTION_TIME: Duration = Duration::from_secs(2);
/// Service time of a request that has no prompt to prefill, such as a call of a plain service.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(3);
/// Share of the latency objective that requests of tenants beyond their share may be predicted to take while their service
/// is contended. The rest is room for the other tenants.
const OVER_SHARE_OBJECTIVE_RATIO: f64 = 0.6;

/// Which tenants get more than their share of a service, and which services are short of room.
#[derive(Debug, Clone)]
pub(crate) struct Fairness {
    shares: FairShare<ServiceName>,
    contended_until: FxHashMap<ServiceName, Time>,
}

impl Default for Fairness {
    fn default() -> Self {
        let shares = FairShare::with_memory(TENANT_MEMORY);
        Self { shares, contended_until: FxHashMap::default() }
    }
}

impl Fairness {
    pub(crate) fn record_arrival(&mut self, state: &RequestState) {
        if let Some(tenant) = state.tenant() {
            self.shares.record_arrival(&state.service, tenant);
        }
    }

    /// Records that a request was sent to an endpoint, which is predicted to prefill its prompt for this time.
    pub(crate) fn record_send(&mut self, state: &RequestState, prefill_time: Duration) {
        if let Some(tenant) = state.tenant() {
            let time = prefill_time.max(MIN_SERVICE_TIME);
            self.shares.record_service(&state.service, tenant, time);
        }
    }

    pub(crate) fn record_end(&mut self, state: &RequestState) {
        if let Some(tenant) = state.tenant() {
            self.shares.record_end(&state.service, tenant);
        }
    }

    /// Records a refusal for overload. Only one of a tenant within its share shows that others take its room.
    pub(crate) fn record_refusal(&mut self, now: Time, service: &ServiceName, tenant: &TenantName) {
        if !self.is_over_share(service, tenant) {
            self.contended_until.insert(service.clone(), now + CONTENTION_TIME);
        }
    }

    /// Returns which share of its latency objective a request may be predicted to take.
    pub(crate) fn objective_ratio(&self, now: Time, state: &RequestState) -> f64 {
        let is_contended = self.contended_until.get(&state.service).is_some_and(|it| now < *it);
        match state.tenant() {
            Some(tenant) if is_contended && self.is_over_share(&state.service, tenant) => {
                OVER_SHARE_OBJECTIVE_RATIO
            }
            _ => 1.0,
        }
    }

    fn is_over_share(&self, service: &ServiceName, tenant: &TenantName) -> bool {
        !self.shares.penalty(service, tenant).is_zero()
    }

    pub(crate) fn expire(&mut self, now: Time) {
        self.shares.expire(now);
        self.contended_until.retain(|_, until| now < *until);
    }
}

impl Dispatcher {
    /// Records that a request is refused for overload.
    pub(crate) fn record_overload_refusal(&mut self, now: Time, key: RequestKey) {
        let Some(state) = self.requests.get(&key) else { return };
        if let Some(tenant) = state.tenant() {
            self.fairness.record_refusal(now, &state.service, tenant);
        }
    }
}
