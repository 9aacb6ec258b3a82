//! A simulated connection between an entry and an agent.

use std::collections::VecDeque;

use daisychute_link::LinkId;
use daisychute_proto::Frame;

/// A connection between an entry and an agent. One side may consider it up while the other considers it down.
pub(crate) struct Wire {
    pub(crate) entry: usize,
    pub(crate) entry_link: LinkId,
    pub(crate) entry_up: bool,
    pub(crate) agent: usize,
    pub(crate) agent_link: LinkId,
    pub(crate) agent_up: bool,
    pub(crate) to_agent: VecDeque<Frame>,
    pub(crate) to_entry: VecDeque<Frame>,
}

impl Wire {
    pub(crate) const fn new(
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

    /// Takes the connection down on the entry's side.
    pub(crate) fn cut(&mut self) {
        self.entry_up = false;
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.to_agent.is_empty() && self.to_entry.is_empty()
    }
}
