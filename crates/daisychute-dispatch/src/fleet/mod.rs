//! The endpoints that a front knows, by what the directory, its own requests and its peers say.

pub(crate) mod backlog;
pub(crate) mod budget;
pub(crate) mod choice;
pub(crate) mod endpoint;
pub(crate) mod engine_model;
pub(crate) mod health;
pub(crate) mod load;
pub(crate) mod part_cache;
pub(crate) mod prompt;
pub(crate) mod work;

use std::collections::BTreeMap;
use std::time::Duration;

use daisychute_core::{EndpointName, ServiceName, Time};
use rustc_hash::FxHashMap;

use crate::fleet::endpoint::Known;
use crate::{Endpoint, EndpointKey, EndpointLifecycle, PeerLoad};

/// Whether the directory could be reached when a record vanished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Removal {
    /// The endpoint has left.
    Left,
    /// It vanished around an outage of the directory: it may come back until this time has passed.
    AfterOutage(Duration),
}

/// All endpoints. Keys are never used again.
#[derive(Debug, Default)]
pub struct Fleet {
    next: u32,
    known: BTreeMap<EndpointKey, Known>,
    // Each name in `known`, with the key of its latest incarnation.
    names: FxHashMap<EndpointName, EndpointKey>,
    // Where each peer said that it has work.
    told: FxHashMap<u64, Vec<EndpointKey>>,
    // The keys of each service, in ascending order.
    services: FxHashMap<ServiceName, Vec<EndpointKey>>,
}

impl Fleet {
    /// Takes a record in. Returns its key, and the key that it replaces where the endpoint has started anew.
    pub fn upsert(&mut self, endpoint: Endpoint) -> (EndpointKey, Option<EndpointKey>) {
        if let Some(key) = self.names.get(&endpoint.name).copied() {
            if self.same_incarnation(key, &endpoint) {
                if let Some(known) = self.known.get_mut(&key) {
                    known.update(endpoint);
                }
                return (key, None);
            }
            self.forget(key);
            return (self.insert(endpoint), Some(key));
        }
        (self.insert(endpoint), None)
    }

    fn same_incarnation(&self, key: EndpointKey, endpoint: &Endpoint) -> bool {
        self.known.get(&key).is_some_and(|it| {
            let before = &it.endpoint;
            before.started_at == endpoint.started_at
                && before.address == endpoint.address
                && before.service == endpoint.service
        })
    }

    fn insert(&mut self, endpoint: Endpoint) -> EndpointKey {
        let key = EndpointKey::new(self.next);
        self.next += 1;
        self.names.insert(endpoint.name.clone(), key);
        self.services.entry(endpoint.service.clone()).or_default().push(key);
        self.known.insert(key, Known::new(endpoint));
        key
    }

    /// The record of this name is gone. Returns the key that was dropped.
    pub fn remove(
        &mut self,
        now: Time,
        name: &EndpointName,
        removal: Removal,
    ) -> Option<EndpointKey> {
        let key = self.names.get(name).copied()?;
        match removal {
            Removal::Left => {
                self.forget(key);
                Some(key)
            }
            Removal::AfterOutage(span) => {
                let known = self.known.get_mut(&key)?;
                if known.lifecycle == EndpointLifecycle::Ready {
                    known.lifecycle = EndpointLifecycle::RemovalPending { until: now + span };
                }
                None
            }
        }
    }

    /// Drops the endpoints that were unlisted and whose time is over. Returns their keys.
    pub fn expire(&mut self, now: Time) -> Vec<EndpointKey> {
        let over = |it: &Known| matches!(it.lifecycle, EndpointLifecycle::RemovalPending { until } if until <= now);
        let keys: Vec<_> =
            self.known.iter().filter(|(_, it)| over(it)).map(|(key, _)| *key).collect();
        for key in &keys {
            self.forget(*key);
        }
        keys
    }

    fn forget(&mut self, key: EndpointKey) {
        let Some(known) = self.known.remove(&key) else { return };
        let Endpoint { name, service, .. } = known.endpoint;
        if self.names.get(&name) == Some(&key) {
            self.names.remove(&name);
        }
        if let Some(keys) = self.services.get_mut(&service) {
            keys.retain(|it| *it != key);
            if keys.is_empty() {
                self.services.remove(&service);
            }
        }
    }

    /// What the directory says of an endpoint.
    #[must_use]
    pub fn endpoint(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.known.get(&key).map(|it| &it.endpoint)
    }

    /// The key of a name.
    #[must_use]
    pub fn key(&self, name: &EndpointName) -> Option<EndpointKey> {
        self.names.get(name).copied()
    }

    /// What the directory says of all endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.known.values().map(|it| &it.endpoint)
    }

    /// All names.
    pub fn names(&self) -> impl Iterator<Item = &EndpointName> {
        self.names.keys()
    }

    /// Whether new work may go there.
    #[must_use]
    pub fn takes_work(&self, now: Time, key: EndpointKey) -> bool {
        self.known.get(&key).is_some_and(|it| it.takes_work(now))
    }

    /// Takes in what another front has at its endpoints.
    pub fn set_peer_load(&mut self, now: Time, peer: u64, loads: &[(EndpointName, PeerLoad)]) {
        let told = self.told.entry(peer).or_default();
        for key in told.drain(..) {
            if let Some(known) = self.known.get_mut(&key) {
                known.peers.remove(&peer);
            }
        }
        for (name, load) in loads {
            let Some(key) = self.names.get(name) else { continue };
            if let Some(known) = self.known.get_mut(key) {
                known.peers.insert(peer, (now, *load));
                told.push(*key);
            }
        }
    }

    /// The work of this front at each endpoint that has any.
    pub fn own_load(&self, now: Time) -> impl Iterator<Item = (&EndpointName, PeerLoad)> {
        let busy = self.known.values().filter(|it| it.work.requests() > 0);
        busy.map(move |it| (&it.endpoint.name, it.work.told(now)))
    }

    /// How many endpoints are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether none is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    pub(crate) fn known_mut(&mut self, key: EndpointKey) -> Option<&mut Known> {
        self.known.get_mut(&key)
    }

    pub(crate) fn of_service(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (EndpointKey, &Known)> {
        let keys = self.services.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().filter_map(|key| self.known.get(key).map(|it| (*key, it)))
    }
}
