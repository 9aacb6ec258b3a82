//! A front's configuration and endpoints, for a peer that can't reach the directory.

use std::sync::Arc;

use daisychute_core::ServiceName;
use daisychute_dispatch::{
    Account, Accounts, AccountsError, ClientLimits, Dispatcher, DuplicateRoute, Endpoint, Route,
    RouteTable, ServiceSpec, SoftwareVersions,
};
use serde::{Deserialize, Serialize};

use crate::Position;

/// The configuration in force at a front, and the endpoints in its fleet.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    version: u64,
    routes: Vec<Route>,
    services: Vec<ServiceSpec>,
    limits: ClientLimits,
    pub(crate) endpoints: Vec<Endpoint>,
    /// The directory revisions of the latest changes of configuration and endpoints that it contains.
    revisions: (u64, u64),
    /// The store's revision up to which the sender has seen all changes of endpoints; 0 if unknown.
    #[serde(default)]
    covered: u64,
    /// Whether removals are pending at the sender, so that some of the endpoints may have left.
    #[serde(default)]
    pub(crate) unsettled: bool,
    /// The eras of the two `revisions` and of `covered`. Missing in snapshots of older builds.
    #[serde(default)]
    eras: (u64, u64, u64),
    /// The client accounts with the hashes of their keys; `None` if the deployment has none. Missing in snapshots of older
    /// builds, which don't check keys.
    #[serde(default)]
    accounts: Option<Vec<Account>>,
    /// Whether the sender knows that there is a later configuration, which may have revoked keys.
    #[serde(default)]
    outdated: bool,
    /// The versions of services at which the sender may begin streams. Missing in snapshots of older builds.
    #[serde(default)]
    pub(crate) allowed_versions: Vec<(ServiceName, SoftwareVersions)>,
}

/// Why the configuration of a snapshot is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum SnapshotError {
    /// Two routes match the same requests.
    #[error(transparent)]
    Routes(#[from] DuplicateRoute),
    /// The client accounts are ambiguous.
    #[error(transparent)]
    Accounts(#[from] AccountsError),
}

impl Snapshot {
    /// Takes a snapshot of the dispatcher. `None` if no configuration is in force.
    pub(crate) fn of(dispatcher: &Dispatcher) -> Option<Self> {
        let table = dispatcher.table()?;
        Some(Self {
            version: table.version(),
            routes: table.routes().cloned().collect(),
            services: table.services().cloned().collect(),
            limits: *table.limits(),
            accounts: table.accounts().map(|it| it.iter().cloned().collect()),
            endpoints: dispatcher.fleet().endpoints().cloned().collect(),
            unsettled: dispatcher.fleet().has_pending_removals(),
            allowed_versions: dispatcher
                .allowed_versions()
                .map(|(service, versions)| (service.clone(), versions.clone()))
                .collect(),
            ..Self::default()
        })
    }

    /// Adds the positions of the latest changes of configuration and endpoints that it contains, and the one up to which
    /// the sender has seen all changes of endpoints.
    pub(crate) fn with_positions(
        self,
        (configuration, endpoints): (Position, Position),
        covered: Position,
    ) -> Self {
        Self {
            revisions: (configuration.revision(), endpoints.revision()),
            covered: covered.revision(),
            eras: (configuration.era(), endpoints.era(), covered.era()),
            ..self
        }
    }

    /// Adds whether the sender knows that there is a later configuration.
    pub(crate) fn outdated(self, outdated: bool) -> Self {
        Self { outdated, ..self }
    }

    /// Whether keys of client accounts that it contains may have been revoked.
    pub(crate) const fn may_have_revoked_keys(&self) -> bool {
        self.outdated && self.accounts.is_some()
    }

    /// Returns the version of the configuration.
    pub(crate) const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the positions of the latest changes of configuration and endpoints that it contains.
    pub(crate) const fn positions(&self) -> (Position, Position) {
        let (configuration, endpoints, _) = self.eras;
        (Position::new(configuration, self.revisions.0), Position::new(endpoints, self.revisions.1))
    }

    /// Returns the position up to which the sender has seen all changes of endpoints.
    pub(crate) const fn covered(&self) -> Position {
        Position::new(self.eras.2, self.covered)
    }

    /// Builds the route table and validates it again.
    pub(crate) fn table(&self) -> Result<Arc<RouteTable>, SnapshotError> {
        let (routes, services) = (self.routes.clone(), self.services.clone());
        let accounts = self.accounts.clone().map(Accounts::try_from).transpose()?;
        let table = RouteTable::new(self.version, routes, services, self.limits)?;
        Ok(Arc::new(table.with_accounts(accounts)))
    }
}
