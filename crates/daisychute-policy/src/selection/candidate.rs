//! The static properties of an endpoint that selection depends on.

use std::time::Duration;

use daisychute_core::{
    AdapterName, DataCentreName, EndpointKind, EndpointName, EndpointRecord, EndpointState,
    ModelName, Role, ServiceName,
};

/// An endpoint that may be selected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Unique name of the endpoint.
    pub endpoint: EndpointName,
    /// The data centre that the endpoint runs in.
    pub data_centre: DataCentreName,
    /// One-way network latency from the entry.
    pub distance: Duration,
    /// The role of an engine; `Mixed` for a worker of a plain service, and for an engine without a target.
    pub role: Role,
    /// The model that the endpoint serves; `None` for a plain service, and for an engine without a target.
    pub model: Option<ModelName>,
    /// The plain service that the endpoint is a worker of; `None` for an engine.
    pub service: Option<ServiceName>,
    /// The adapter on the model; `None` for the base model.
    pub adapter: Option<AdapterName>,
    /// Whether the endpoint accepts new requests.
    pub live: bool,
}

impl Candidate {
    /// Creates a live engine of mixed role without network latency.
    #[must_use]
    pub fn engine(endpoint: EndpointName, data_centre: DataCentreName, model: ModelName) -> Self {
        Self {
            endpoint,
            data_centre,
            distance: Duration::ZERO,
            role: Role::Mixed,
            model: Some(model),
            service: None,
            adapter: None,
            live: true,
        }
    }

    /// Creates a live worker of a plain service without network latency.
    #[must_use]
    pub fn service(endpoint: EndpointName, data_centre: DataCentreName, name: ServiceName) -> Self {
        Self {
            endpoint,
            data_centre,
            distance: Duration::ZERO,
            role: Role::Mixed,
            model: None,
            service: Some(name),
            adapter: None,
            live: true,
        }
    }

    /// Creates a candidate from an endpoint's record and the one-way network latency to it.
    #[must_use]
    pub fn from_record(record: &EndpointRecord, distance: Duration) -> Self {
        Self {
            endpoint: record.endpoint.clone(),
            data_centre: record.data_centre.clone(),
            distance,
            role: record.target.as_ref().map(|it| it.role).unwrap_or_default(),
            model: record.target.as_ref().map(|it| it.model.clone()),
            service: match &record.kind {
                EndpointKind::Engine => None,
                EndpointKind::Service(name) => Some(name.clone()),
            },
            adapter: record.target.as_ref().and_then(|it| it.adapter.clone()),
            live: record.state == EndpointState::Live,
        }
    }

    /// Sets the role.
    #[must_use]
    pub fn role(mut self, role: Role) -> Self {
        self.role = role;
        self
    }

    /// Sets the one-way network latency.
    #[must_use]
    pub fn distance(mut self, distance: Duration) -> Self {
        self.distance = distance;
        self
    }

    /// Sets whether the endpoint accepts new requests.
    #[must_use]
    pub fn live(mut self, live: bool) -> Self {
        self.live = live;
        self
    }
}
