//! The entries of the model.

use super::*;

impl World {
    pub(super) fn deliver_entry(&mut self, at: usize, message: Message) {
        let entry = &mut self.entries[at];
        if !entry.alive {
            return;
        }
        if entry.paused {
            entry.inbox.push_back(message);
            return;
        }
        match message {
            Message::Entry(TakeoverEvent::Tick) if entry.timer > self.now => {}
            Message::Entry(TakeoverEvent::Table { read, .. }) => self.entry_table(at, read),
            Message::Entry(event) => self.tell_entry(at, event),
            Message::Outcome(id, outcome) => self.end(id, &outcome),
            Message::Shell => self.entry_shell(at),
            _ => {}
        }
    }

    pub(super) fn entry_table(&mut self, at: usize, read: ReadResult<OwnerTable>) {
        if let ReadResult::Found(it) = &read {
            self.entries[at].map.adopt(it.version, it.body.clone());
        }
        let wall = self.wall(self.entries[at].skew_ms);
        self.tell_entry(at, TakeoverEvent::Table { wall, read });
    }

    /// Hears from the agents, suspects the silent ones and reads the table.
    pub(super) fn entry_shell(&mut self, at: usize) {
        let mut members = Vec::new();
        let mut suspects = Vec::new();
        for agent in 0..AGENTS {
            let it = &self.agents[agent];
            let heard = it.alive && !it.paused && !self.cut.contains(&(at, agent));
            let missed = self.entries[at].missed.entry(agent).or_default();
            *missed = if heard { 0 } else { *missed + 1 };
            let id = it.core.owner().id();
            let leased = it.core.owner().valid_until() > Some(self.now);
            if heard && leased && !it.leaving {
                members.push(id.clone());
            }
            let silent = *missed >= 2;
            let named = self.entries[at].map.owners();
            let same = |owner: &OwnerId| owner.agent.process == it.id.process;
            suspects.extend(named.filter(|it| same(it) && (silent || heard && *it != id)).cloned());
        }
        self.tell_entry(at, TakeoverEvent::Members(members));
        for owner in suspects {
            self.tell_entry(at, TakeoverEvent::Suspect(owner));
        }
        self.tell_entry(at, TakeoverEvent::Tick);
        self.entry_action(at, TakeoverAction::GetTable);
        let sweeps = (self.now.as_micros() / 5_000_000).is_multiple_of(4);
        if at == 0 && sweeps && !self.unreachable(Node::Entry(0)) {
            self.tell_entry(0, TakeoverEvent::Swept(self.leases.all()));
        }
        let next = self.now + SHELL_PERIOD;
        self.post(next, Node::Entry(at), self.entries[at].id.incarnation, Message::Shell);
    }

    pub(super) fn tell_entry(&mut self, at: usize, event: TakeoverEvent) {
        let mut out = Vec::new();
        self.entries[at].core.handle(self.now, event, &mut out);
        for action in out {
            self.entry_action(at, action);
        }
    }

    pub(super) fn entry_action(&mut self, at: usize, action: TakeoverAction) {
        let node = Node::Entry(at);
        match action {
            // The shell ticks by itself.
            TakeoverAction::SetTimer(_) => {}
            TakeoverAction::GetLease(owner) => {
                let read = self.read(node, |it| it.leases.get(&owner));
                self.answer(node, Message::Entry(TakeoverEvent::Lease { owner, read }));
            }
            TakeoverAction::DeleteLease { .. } if self.unreachable(node) => {}
            TakeoverAction::DeleteLease { owner, expect } => {
                self.leases.delete(&owner, Some(expect));
            }
            TakeoverAction::GetTable => {
                let read = self.read(node, |it| it.tables.get(&()));
                let wall = WallTime::default();
                self.answer(node, Message::Entry(TakeoverEvent::Table { wall, read }));
            }
            TakeoverAction::PutLease { seq, expect, lease } => {
                self.put(node, seq, expect, Put::Lease(lease.owner.clone(), lease));
            }
            TakeoverAction::PutTable { seq, expect, table } => {
                self.put(node, seq, expect, Put::Table(table));
            }
            TakeoverAction::Grant { owner, nonce, span } => {
                let to = self.agent_of(&owner);
                let by = self.entries[at].id.clone();
                let event = Event::Owner(OwnerEvent::Grant { by, nonce, span });
                self.send(Some((at, to)), Node::Agent(to), &Message::Agent(event));
            }
        }
    }
}
