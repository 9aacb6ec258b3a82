//! In-memory object store with versions, conditional writes and a history of the committed plans and configurations.

use std::collections::BTreeMap;

use daisychute_core::{EndpointName, EngineTarget, Plan, Revision};
use daisychute_store::{
    ConfigurationDocument, LeaseRecord, Object, ObjectKind, ReadOutcome, ResourceVersion,
    WriteOutcome,
};

use super::Violation;

/// In-memory object store that checks every write for violations.
#[derive(Debug, Default)]
pub(crate) struct Store {
    objects: BTreeMap<ObjectKind, Object>,
    version: u64,
    /// Target that each committed plan revision set for each endpoint that it changed.
    targets: BTreeMap<(Revision, EndpointName), Option<EngineTarget>>,
    /// Accepted configurations by revision.
    configurations: BTreeMap<Revision, ConfigurationDocument>,
}

impl Store {
    pub(crate) fn read(&self, kind: ObjectKind) -> ReadOutcome {
        self.objects.get(&kind).cloned().map_or(ReadOutcome::Missing, ReadOutcome::Found)
    }

    pub(crate) fn version(&self) -> ResourceVersion {
        ResourceVersion::from(self.version.to_string().as_str())
    }

    /// Writes the object if its resource version is the stored one.
    pub(crate) fn write(&mut self, object: &Object) -> Result<WriteOutcome, Violation> {
        let stored = self.objects.get(&object.kind);
        let version = stored.and_then(|it| it.metadata.resource_version.as_ref());
        if version != object.metadata.resource_version.as_ref() {
            return Ok(WriteOutcome::Conflict);
        }
        match object.kind {
            ObjectKind::Plans => self.check_plan(object)?,
            ObjectKind::Leases => self.check_lease(object)?,
            ObjectKind::Configurations => self.accept_configuration(object)?,
            _ => {}
        }
        self.version += 1;
        let version = self.version();
        self.objects.insert(object.kind, object.clone().version(version.clone()));
        Ok(WriteOutcome::Done(version))
    }

    /// The stored plan.
    pub(crate) fn plan(&self) -> Plan {
        let object = self.objects.get(&ObjectKind::Plans);
        object.and_then(|it| it.parse().ok()).unwrap_or_default()
    }

    /// Target that the plan of revision `fence` set for an endpoint; `None` if that revision didn't change it.
    pub(crate) fn ordered(
        &self,
        fence: Revision,
        endpoint: &EndpointName,
    ) -> Option<&EngineTarget> {
        self.targets.get(&(fence, endpoint.clone()))?.as_ref()
    }

    fn check_plan(&mut self, object: &Object) -> Result<(), Violation> {
        let before = self.plan();
        let plan: Plan = object.parse().unwrap();
        if plan.term < before.term {
            return Err(Violation::TermDecreased { from: before.term, to: plan.term });
        }
        if plan.revision <= before.revision {
            return Err(Violation::RevisionNotIncreased {
                from: before.revision,
                to: plan.revision,
            });
        }
        for (endpoint, desired) in plan.endpoints {
            if desired.since == plan.revision {
                self.targets.insert((plan.revision, endpoint), desired.target);
            }
        }
        Ok(())
    }

    /// The configuration that was accepted as this revision.
    pub(crate) fn accepted(&self, revision: Revision) -> Option<&ConfigurationDocument> {
        self.configurations.get(&revision)
    }

    /// Revision of the newest accepted configuration.
    pub(crate) fn newest_configuration(&self) -> Revision {
        self.configurations.keys().next_back().copied().unwrap_or_default()
    }

    fn accept_configuration(&mut self, object: &Object) -> Result<(), Violation> {
        let document: ConfigurationDocument = object.parse().unwrap();
        let revision = document.revision;
        match self.configurations.insert(revision, document) {
            Some(_) => Err(Violation::RevisionAcceptedTwice { revision }),
            None => Ok(()),
        }
    }

    fn check_lease(&self, object: &Object) -> Result<(), Violation> {
        let next: LeaseRecord = object.parse().unwrap();
        let before = self.objects.get(&ObjectKind::Leases);
        let Some(before) = before.map(|it| it.parse::<LeaseRecord>().unwrap()) else {
            return Ok(());
        };
        let renewed = next.holder == before.holder && next.term == before.term;
        let released = next.holder.is_none() && next.term == before.term;
        if renewed || released || next.term > before.term {
            Ok(())
        } else {
            Err(Violation::LeaseTermNotIncreased { from: before.term, to: next.term })
        }
    }
}
