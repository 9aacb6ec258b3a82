//! What is known of one endpoint.

use daisychute_core::{EndpointRecord, EndpointState, Time};

use super::{MemberSettings, MemberState};

/// What is known of one endpoint.
#[derive(Debug, Clone)]
pub(super) struct Member {
    /// The best evidence: what the agent said, or the list where it said nothing yet.
    pub(super) record: EndpointRecord,
    /// Whether `record` is from the agent itself.
    pub(super) direct: bool,
    pub(super) listed: bool,
    /// Whether the list says that this instance leaves.
    pub(super) listed_leaving: bool,
    /// When the agent was last heard.
    pub(super) heard: Option<Time>,
    /// When evidence of this instance was first seen.
    pub(super) since: Time,
    pub(super) link_down: bool,
    /// Whether the agent of another endpoint answers at the address in `record`.
    pub(super) misplaced: bool,
    /// When the connection was last opened or replaced.
    pub(super) connected_at: Time,
    pub(super) state: MemberState,
}

impl Member {
    pub(super) fn new(now: Time, record: EndpointRecord) -> Self {
        Self {
            record,
            direct: false,
            listed: false,
            listed_leaving: false,
            heard: None,
            since: now,
            link_down: false,
            misplaced: false,
            connected_at: now,
            state: MemberState::Unconfirmed,
        }
    }

    /// Takes what the agent says of itself, unless it is of an earlier incarnation.
    pub(super) fn direct(&mut self, now: Time, record: EndpointRecord) -> bool {
        if self.direct && record.incarnation < self.record.incarnation {
            return false;
        }
        if record.instance != self.record.instance {
            self.listed_leaving = false;
        }
        self.record = record;
        self.direct = true;
        self.misplaced = false;
        self.hear(now);
        true
    }

    pub(super) fn hear(&mut self, now: Time) {
        self.heard = Some(now);
        self.link_down = false;
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.listed_leaving || self.record.state == EndpointState::Leaving
    }

    /// Whether the agent was heard, is at its address and isn't leaving.
    pub(super) fn is_candidate(&self) -> bool {
        self.heard.is_some() && !self.misplaced && !self.is_leaving()
    }

    pub(super) fn is_silent(&self, now: Time, settings: &MemberSettings) -> bool {
        let silent = |heard| now.since(heard) >= settings.suspect_after;
        self.link_down || self.heard.is_none_or(silent)
    }

    /// Whether the connection must be replaced: nothing came on it since it was opened, or for too long.
    pub(super) fn needs_connection(&self, now: Time, settings: &MemberSettings) -> bool {
        let last = self.heard.unwrap_or(self.since).max(self.connected_at);
        !self.misplaced && now.since(last) >= settings.silence
    }

    /// Whether nothing speaks for it any more.
    pub(super) fn is_forgotten(&self, now: Time, settings: &MemberSettings) -> bool {
        let last = self.heard.unwrap_or(self.since);
        !self.listed && now.since(last) >= settings.forget_after
    }
}
