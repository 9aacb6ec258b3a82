//! What an entry knows of an endpoint before it looks at its load.

use std::time::Duration;

use daisychute_core::{
    AdapterName, DataCentreName, EndpointKind, EndpointName, EndpointRecord, EndpointState,
    ModelName, Role, ServiceName,
};

/// An endpoint that may be chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub endpoint: EndpointName,
    /// Where it is.
    pub data_centre: DataCentreName,
    /// The time to it, one way.
    pub distance: Duration,
    /// The role of an engine.
    pub role: Role,
    /// The model that it serves; none for a plain service.
    pub model: Option<ModelName>,
    /// The plain service that it is a worker of.
    pub service: Option<ServiceName>,
    /// The adapter on top of it.
    pub adapter: Option<AdapterName>,
    /// Whether it takes new work.
    pub live: bool,
}

impl Candidate {
    /// A live engine of mixed role beside the entry.
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

    /// A live worker of a plain service beside the entry.
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

    /// A candidate from what is known of an endpoint at this distance.
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

    /// The same candidate with this role.
    #[must_use]
    pub fn role(mut self, role: Role) -> Self {
        self.role = role;
        self
    }

    /// The same candidate at this distance one way.
    #[must_use]
    pub fn distance(mut self, distance: Duration) -> Self {
        self.distance = distance;
        self
    }

    /// The same candidate, taking new work or not.
    #[must_use]
    pub fn live(mut self, live: bool) -> Self {
        self.live = live;
        self
    }
}
