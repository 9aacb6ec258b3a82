//! A connection between an entry and an agent.

use std::collections::VecDeque;

use daisychute_link::LinkId;
use daisychute_proto::Frame;

/// A connection between an entry and an agent. Either side may believe that it is open while the other doesn't.
pub(super) struct Wire {
    pub(super) entry: usize,
    pub(super) entry_link: LinkId,
    pub(super) entry_up: bool,
    pub(super) agent: usize,
    pub(super) agent_link: LinkId,
    pub(super) agent_up: bool,
    pub(super) to_agent: VecDeque<Frame>,
    pub(super) to_entry: VecDeque<Frame>,
}

impl Wire {
    pub(super) const fn new(
        entry: usize,
        entry_link: LinkId,
        agent: usize,
        agent_link: LinkId,
    ) -> Self {
        Self {
            entry,
            entry_link,
            entry_up: true,
            agent,
            agent_link,
            agent_up: true,
            to_agent: VecDeque::new(),
            to_entry: VecDeque::new(),
        }
    }

    /// The entry gave it up.
    pub(super) fn cut(&mut self) {
        self.entry_up = false;
    }

    pub(super) fn is_quiet(&self) -> bool {
        self.to_agent.is_empty() && self.to_entry.is_empty()
    }
}
