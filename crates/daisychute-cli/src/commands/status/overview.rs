//! What is known of a deployment, merged from all sources.

use std::collections::BTreeMap;
use std::time::Duration;

use daisychute_core::{
    DataCentreName, Drains, EndpointName, EndpointRecord, EndpointStatus, Incarnation, PeerStatus,
    ProcessName, ProcessRole, ProcessState, ProcessStatus, Revision, Revisions,
};
use serde::Serialize;

/// One process, by the newest word of it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(super) struct ProcessRow {
    pub(super) process: ProcessName,
    pub(super) role: ProcessRole,
    pub(super) data_centre: DataCentreName,
    pub(super) incarnation: Incarnation,
    pub(super) revisions: Revisions,
    /// None where only another process told of it.
    pub(super) state: Option<ProcessState>,
    /// None where only another process told of it.
    pub(super) in_flight: Option<u32>,
    /// How long ago another process heard of it; none where it spoke for itself.
    pub(super) heard: Option<Duration>,
    /// Whether it is not yet at the accepted configuration; none where that is not known.
    pub(super) behind: Option<bool>,
}

/// One endpoint.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(super) struct EndpointRow {
    pub(super) status: EndpointStatus,
    /// Whether operators want it drained; none where that is not known.
    pub(super) drain: Option<bool>,
    /// Whether a process told of it; none where no process was heard at all.
    pub(super) heard: Option<bool>,
}

/// Whether a source answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Source {
    /// It answered.
    Up,
    /// It gave no answer.
    Down,
    /// It was not asked.
    NotAsked,
}

/// What is known of a deployment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(super) struct Overview {
    pub(super) platform: Source,
    /// Entries that were asked and gave no answer.
    pub(super) silent_entries: Vec<std::net::SocketAddr>,
    /// The accepted configuration; none where it is not known.
    pub(super) accepted: Option<Revision>,
    /// The committed plan of the region; none where it is not known.
    pub(super) plan: Option<Revision>,
    // Invariant: by name.
    pub(super) processes: Vec<ProcessRow>,
    // Invariant: by name.
    pub(super) endpoints: Vec<EndpointRow>,
}

/// What the sources said.
#[derive(Debug, Default)]
pub(super) struct Found {
    pub(super) statuses: Vec<ProcessStatus>,
    pub(super) instances: Vec<EndpointRecord>,
    pub(super) drains: Option<Drains>,
    pub(super) accepted: Option<Revision>,
    pub(super) plan: Option<Revision>,
}

impl Found {
    /// One row for each process and endpoint.
    pub(super) fn merge(
        self,
        platform: Source,
        silent_entries: Vec<std::net::SocketAddr>,
    ) -> Overview {
        let processes = self.processes();
        let endpoints = self.endpoints();
        let Self { accepted, plan, .. } = self;
        Overview { platform, silent_entries, accepted, plan, processes, endpoints }
    }

    fn processes(&self) -> Vec<ProcessRow> {
        let mut rows: BTreeMap<ProcessName, ProcessRow> = BTreeMap::new();
        for status in &self.statuses {
            keep_newest(&mut rows, self.spoken(status));
            for peer in &status.peers {
                keep_newest(&mut rows, self.told(peer));
            }
        }
        rows.into_values().collect()
    }

    fn spoken(&self, status: &ProcessStatus) -> ProcessRow {
        ProcessRow {
            process: status.process.clone(),
            role: status.role,
            data_centre: status.data_centre.clone(),
            incarnation: status.incarnation,
            revisions: status.revisions,
            state: Some(status.state),
            in_flight: Some(status.in_flight),
            heard: None,
            behind: self.behind(status.revisions),
        }
    }

    fn told(&self, peer: &PeerStatus) -> ProcessRow {
        ProcessRow {
            process: peer.process.clone(),
            role: peer.role,
            data_centre: peer.data_centre.clone(),
            incarnation: peer.incarnation,
            revisions: peer.revisions,
            state: None,
            in_flight: None,
            heard: Some(peer.heard),
            behind: self.behind(peer.revisions),
        }
    }

    fn behind(&self, revisions: Revisions) -> Option<bool> {
        self.accepted.map(|it| revisions.configuration < it)
    }

    fn heard(&self, endpoint: &EndpointName) -> Option<bool> {
        let mut told = self.statuses.iter().flat_map(|it| &it.endpoints);
        (!self.statuses.is_empty()).then(|| told.any(|it| it.endpoint == *endpoint))
    }

    /// What processes say of an endpoint goes before the platform's list, which lags.
    fn endpoints(&self) -> Vec<EndpointRow> {
        let mut found: BTreeMap<EndpointName, EndpointStatus> = BTreeMap::new();
        for record in &self.instances {
            found.insert(record.endpoint.clone(), listed(record));
        }
        let (agents, entries): (Vec<_>, Vec<_>) =
            self.statuses.iter().partition(|it| it.role == ProcessRole::Agent);
        for status in entries.into_iter().chain(agents) {
            let endpoints = status.endpoints.iter().cloned();
            found.extend(endpoints.map(|it| (it.endpoint.clone(), it)));
        }
        let row = |status: EndpointStatus| EndpointRow {
            drain: self.drains.as_ref().map(|it| it.contains(&status.endpoint)),
            heard: self.heard(&status.endpoint),
            status,
        };
        found.into_values().map(row).collect()
    }
}

/// A later incarnation goes before an earlier one, its own word before that of others, later word before earlier.
fn keep_newest(rows: &mut BTreeMap<ProcessName, ProcessRow>, row: ProcessRow) {
    let age = |it: &ProcessRow| it.heard.unwrap_or_default();
    let is_newer = rows.get(&row.process).is_none_or(|old| {
        (row.incarnation, std::cmp::Reverse(age(&row)))
            > (old.incarnation, std::cmp::Reverse(age(old)))
    });
    if is_newer {
        rows.insert(row.process.clone(), row);
    }
}

fn listed(record: &EndpointRecord) -> EndpointStatus {
    EndpointStatus {
        endpoint: record.endpoint.clone(),
        data_centre: record.data_centre.clone(),
        kind: record.kind.clone(),
        state: record.state,
        target: record.target.clone(),
        changing: false,
        load: None,
    }
}
