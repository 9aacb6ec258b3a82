//! State that membership keeps per endpoint.

use daisychute_core::{EndpointRecord, EndpointState, Time};

use super::{MemberSettings, MemberState};

/// An endpoint and the evidence about it.
#[derive(Debug, Clone)]
pub(super) struct Member {
    /// The most reliable record: the agent's own, or the listed one if the agent hasn't sent any.
    pub(super) record: EndpointRecord,
    /// Whether `record` came from the agent itself.
    pub(super) from_agent: bool,
    /// Whether the platform's last list contained the endpoint.
    pub(super) listed: bool,
    /// Whether the platform's list shows this instance as draining.
    pub(super) listed_as_leaving: bool,
    /// When the agent was last heard from; `None` if never at its current address.
    pub(super) last_contact: Option<Time>,
    /// When this instance was first listed or heard from.
    pub(super) first_seen: Time,
    /// Whether the connection to the agent was lost and nothing has come from the agent since.
    pub(super) connection_lost: bool,
    /// Whether the agent of another endpoint claimed the address in `record`.
    pub(super) address_mismatch: bool,
    /// When the connection was last opened or replaced.
    pub(super) connected_at: Time,
    pub(super) state: MemberState,
}

impl Member {
    pub(super) fn new(now: Time, record: EndpointRecord) -> Self {
        Self {
            record,
            from_agent: false,
            listed: false,
            listed_as_leaving: false,
            last_contact: None,
            first_seen: now,
            connection_lost: false,
            address_mismatch: false,
            connected_at: now,
            state: MemberState::Unconfirmed,
        }
    }

    /// Stores the agent's own record, unless it is of an earlier incarnation. Returns whether it was stored.
    pub(super) fn apply_agent_record(&mut self, now: Time, record: EndpointRecord) -> bool {
        if self.from_agent && record.incarnation < self.record.incarnation {
            return false;
        }
        if record.instance != self.record.instance {
            self.listed_as_leaving = false;
        }
        self.record = record;
        self.from_agent = true;
        self.address_mismatch = false;
        self.record_contact(now);
        true
    }

    /// Notes that something came from the agent.
    pub(super) fn record_contact(&mut self, now: Time) {
        self.last_contact = Some(now);
        self.connection_lost = false;
    }

    /// Whether the agent or the list reports that the endpoint drains.
    pub(super) fn is_leaving(&self) -> bool {
        self.listed_as_leaving || self.record.state == EndpointState::Leaving
    }

    /// Whether the agent has been heard from at its address and the endpoint isn't draining.
    pub(super) fn is_candidate(&self) -> bool {
        self.last_contact.is_some() && !self.address_mismatch && !self.is_leaving()
    }

    /// Whether the connection is lost, or nothing came from the agent for `suspect_after`.
    pub(super) fn is_unresponsive(&self, now: Time, settings: &MemberSettings) -> bool {
        let timed_out = |last_contact| now.since(last_contact) >= settings.suspect_after;
        self.connection_lost || self.last_contact.is_none_or(timed_out)
    }

    /// Whether the connection must be replaced because nothing came on it for `reconnect_after`.
    pub(super) fn needs_reconnect(&self, now: Time, settings: &MemberSettings) -> bool {
        let last_sign = self.last_contact.unwrap_or(self.first_seen).max(self.connected_at);
        !self.address_mismatch && now.since(last_sign) >= settings.reconnect_after
    }

    /// Whether the endpoint is to be removed: it isn't listed, and nothing came from its agent for `remove_after`.
    pub(super) fn is_expired(&self, now: Time, settings: &MemberSettings) -> bool {
        let last_sign = self.last_contact.unwrap_or(self.first_seen);
        !self.listed && now.since(last_sign) >= settings.remove_after
    }
}
