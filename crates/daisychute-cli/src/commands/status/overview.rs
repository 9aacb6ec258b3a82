//! A deployment's state, merged from all sources.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use daisychute_core::{
    DataCentreName, Drains, EndpointName, EndpointRecord, EndpointStatus, Incarnation, PeerStatus,
    ProcessName, ProcessRole, ProcessState, ProcessStatus, Revision, Revisions,
};
use serde::Serialize;

use crate::admin::AdminError;

/// State of one process, from the newest report of itself or of another process.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(super) struct ProcessRow {
    pub(super) process: ProcessName,
    pub(super) role: ProcessRole,
    pub(super) data_centre: DataCentreName,
    pub(super) incarnation: Incarnation,
    pub(super) revisions: Revisions,
    /// `None` if only other processes reported it.
    pub(super) state: Option<ProcessState>,
    /// Number of requests in flight; `None` if only other processes reported it.
    pub(super) in_flight: Option<u32>,
    /// Time since the reporting process last heard from it; `None` if the row is its own report.
    pub(super) heard: Option<Duration>,
    /// Whether its configuration is older than the accepted one; `None` if the accepted one is unknown.
    pub(super) behind: Option<bool>,
}

/// State of one endpoint.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(super) struct EndpointRow {
    pub(super) status: EndpointStatus,
    /// Whether operators want it drained; `None` if the drains of the region were not read.
    pub(super) drain: Option<bool>,
    /// Whether any process reported it; `None` if no process reported at all.
    pub(super) heard: Option<bool>,
}

/// Whether a source of state responded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum SourceState {
    /// It responded.
    Up,
    /// It did not respond, or with an error.
    Down,
    /// It was not queried, because no address was given.
    NotAsked,
}

/// A deployment's state, as `status` shows it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(super) struct Overview {
    pub(super) platform: SourceState,
    /// Entries that did not respond, or with an error.
    // Invariant: the keys of `entry_errors`, in the order in which they were asked.
    pub(super) silent_entries: Vec<SocketAddr>,
    /// Why each of them could not be read.
    pub(super) entry_errors: BTreeMap<SocketAddr, String>,
    /// Revision of the accepted configuration, 0 before the first; `None` if it was not read.
    pub(super) accepted: Option<Revision>,
    /// Revision of the region's committed plan; `None` if there is none or it was not read.
    pub(super) plan: Option<Revision>,
    // Invariant: sorted by name.
    pub(super) processes: Vec<ProcessRow>,
    // Invariant: sorted by name.
    pub(super) endpoints: Vec<EndpointRow>,
}

/// State as read from the sources, not yet merged.
#[derive(Debug, Default)]
pub(super) struct CollectedState {
    /// Statuses on the platform and those of the queried entries; a process may occur twice.
    pub(super) statuses: Vec<ProcessStatus>,
    /// The platform's list of endpoints.
    pub(super) instances: Vec<EndpointRecord>,
    /// Endpoints that operators want drained; `None` if they were not read.
    pub(super) drains: Option<Drains>,
    pub(super) accepted: Option<Revision>,
    pub(super) plan: Option<Revision>,
}

impl CollectedState {
    /// Merges the reports to one row for each process and endpoint.
    pub(super) fn merge(
        self,
        platform: SourceState,
        failed: &[(SocketAddr, AdminError)],
    ) -> Overview {
        let silent_entries = failed.iter().map(|it| it.0).collect();
        let entry_errors =
            failed.iter().map(|(entry, error)| (*entry, error.to_string())).collect();
        let processes = self.process_rows();
        let endpoints = self.endpoint_rows();
        let Self { accepted, plan, .. } = self;
        Overview { platform, silent_entries, entry_errors, accepted, plan, processes, endpoints }
    }

    fn process_rows(&self) -> Vec<ProcessRow> {
        let mut rows: BTreeMap<ProcessName, ProcessRow> = BTreeMap::new();
        for status in &self.statuses {
            keep_newest(&mut rows, self.own_row(status));
            for peer in &status.peers {
                keep_newest(&mut rows, self.peer_row(peer));
            }
        }
        rows.into_values().collect()
    }

    fn own_row(&self, status: &ProcessStatus) -> ProcessRow {
        ProcessRow {
            process: status.process.clone(),
            role: status.role,
            data_centre: status.data_centre.clone(),
            incarnation: status.incarnation,
            revisions: status.revisions,
            state: Some(status.state),
            in_flight: Some(status.in_flight),
            heard: None,
            behind: self.is_behind(status.revisions),
        }
    }

    fn peer_row(&self, peer: &PeerStatus) -> ProcessRow {
        ProcessRow {
            process: peer.process.clone(),
            role: peer.role,
            data_centre: peer.data_centre.clone(),
            incarnation: peer.incarnation,
            revisions: peer.revisions,
            state: None,
            in_flight: None,
            heard: Some(peer.heard),
            behind: self.is_behind(peer.revisions),
        }
    }

    fn is_behind(&self, revisions: Revisions) -> Option<bool> {
        self.accepted.map(|it| revisions.configuration < it)
    }

    fn is_reported(&self, endpoint: &EndpointName) -> Option<bool> {
        let mut reported = self.statuses.iter().flat_map(|it| &it.endpoints);
        (!self.statuses.is_empty()).then(|| reported.any(|it| it.endpoint == *endpoint))
    }

    /// One row for each endpoint. The report of its agent takes precedence over that of an entry, and both over the
    /// platform's list, which lags.
    fn endpoint_rows(&self) -> Vec<EndpointRow> {
        let mut statuses: BTreeMap<EndpointName, EndpointStatus> = BTreeMap::new();
        for record in &self.instances {
            statuses.insert(record.endpoint.clone(), status_from_record(record));
        }
        let (agents, entries): (Vec<_>, Vec<_>) =
            self.statuses.iter().partition(|it| it.role == ProcessRole::Agent);
        for status in entries.into_iter().chain(agents) {
            let endpoints = status.endpoints.iter().cloned();
            statuses.extend(endpoints.map(|it| (it.endpoint.clone(), it)));
        }
        let row = |status: EndpointStatus| EndpointRow {
            drain: self.drains.as_ref().map(|it| it.contains(&status.endpoint)),
            heard: self.is_reported(&status.endpoint),
            status,
        };
        statuses.into_values().map(row).collect()
    }
}

/// Keeps the row of the later incarnation; for the same incarnation, the one whose report is less old. A process's own
/// report has age zero.
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

fn status_from_record(record: &EndpointRecord) -> EndpointStatus {
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
