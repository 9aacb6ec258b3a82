//! The agents of the model.

use super::*;

impl World {
    pub(super) fn deliver_agent(&mut self, at: usize, message: Message) {
        let agent = &mut self.agents[at];
        if !agent.alive {
            return;
        }
        if agent.paused {
            agent.inbox.push_back(message);
            return;
        }
        match message {
            Message::Agent(Event::Tick) if agent.timer > self.now => {}
            Message::Agent(event) => self.tell_agent(at, event),
            Message::Start(id) => self.begin(at, id),
            Message::Dequeue(key, waiter) => self.dequeue(at, key, waiter),
            Message::Shell => self.agent_shell(at),
            _ => {}
        }
    }

    pub(super) fn agent_shell(&mut self, at: usize) {
        let near = (0..ENTRIES).filter(|entry| !self.cut.contains(&(*entry, at)));
        let live = near.map(|it| &self.entries[it]).filter(|it| it.alive && !it.paused);
        let standbys = live.map(|it| it.id.clone()).collect();
        self.tell_agent(at, Event::Owner(OwnerEvent::Standbys(standbys)));
        let next = self.now + SHELL_PERIOD;
        self.post(next, Node::Agent(at), self.agents[at].id.incarnation, Message::Shell);
    }

    pub(super) fn begin(&mut self, at: usize, id: RequestId) {
        let request = &self.requests[&id];
        let digest = CallDigest::of("POST", "/confirm", request.body);
        let (key, wall) = (request.key.clone(), self.wall(self.agents[at].skew_ms));
        self.tell_agent(at, Event::Call { waiter: id, key, digest, wall });
    }

    /// The queue of the agent: most calls go out, some are given up before they do.
    pub(super) fn dequeue(&mut self, at: usize, key: CallKey, waiter: RequestId) {
        if self.rough && self.rng.random_ratio(1, 8) {
            let refusal = Refusal::not_run(RefusalReason::Deadline);
            return self.tell_agent(at, Event::Ledger(LedgerEvent::NotSent { key, refusal }));
        }
        let later = self.now + self.delay();
        let incarnation = self.agents[at].id.incarnation;
        let message = Message::Execute(Run { key, by: waiter });
        self.post(later, Node::Agent(at), incarnation, message);
    }

    pub(super) fn execute(&mut self, node: Node, incarnation: Incarnation, it: Run) {
        let body = Bytes::from(format!("done-{}", self.executions.len()));
        self.note(|| format!("service runs {} for {}", it.key.as_str(), it.by));
        self.executions.push(Execution { key: it.key.clone(), by: it.by, at: self.now });
        let key = it.key;
        let event = if self.rough && self.rng.random_ratio(1, 8) {
            LedgerEvent::Lost { key, refusal: Refusal::unknown(RefusalReason::BadAnswer) }
        } else {
            let answer = Answer { status: 200, content_type: None, body };
            LedgerEvent::Answered { key, answer }
        };
        let at = self.now + self.delay();
        self.post(at, node, incarnation, Message::Agent(Event::Ledger(event)));
    }

    pub(super) fn tell_agent(&mut self, at: usize, event: Event) {
        let mut out = Vec::new();
        self.agents[at].core.handle(self.now, event, &mut out);
        for action in out {
            self.agent_action(at, action);
        }
    }

    pub(super) fn agent_action(&mut self, at: usize, action: Action) {
        let node = Node::Agent(at);
        let incarnation = self.agents[at].id.incarnation;
        match action {
            Action::SetTimer(time) => {
                self.agents[at].timer = time;
                self.post(time, node, incarnation, Message::Agent(Event::Tick));
            }
            Action::Ledger(action) => self.ledger_action(at, action),
            Action::HandOver(part) => {
                let to = self.agent_of(&part.to);
                self.send(None, Node::Agent(to), &Message::Agent(Event::HandOver(part)));
            }
            Action::Taken(answer) => {
                let to = self.agent_of(&answer.from);
                self.send(None, Node::Agent(to), &Message::Agent(Event::Taken(answer)));
            }
            Action::Owner(OwnerAction::PutLease { seq, expect, lease }) => {
                self.put(node, seq, expect, Put::Lease(lease.owner.clone(), lease));
            }
            Action::Owner(OwnerAction::PutTable { seq, expect, table }) => {
                self.put(node, seq, expect, Put::Table(table));
            }
            Action::Owner(OwnerAction::GetLease(owner)) => {
                let read = self.read(node, |it| it.leases.get(&owner));
                self.answer(node, Message::Agent(Event::Owner(OwnerEvent::Lease(read))));
            }
            Action::Owner(OwnerAction::GetTable) => {
                let read = self.read(node, |it| it.tables.get(&()));
                self.answer(node, Message::Agent(Event::Owner(OwnerEvent::Table(read))));
            }
            Action::Owner(OwnerAction::AskGrant { standby, owner, nonce }) => {
                let Some(to) = self.entries.iter().position(|it| it.id == standby) else { return };
                let message = Message::Entry(TakeoverEvent::AskGrant { owner, nonce });
                self.send(Some((to, at)), Node::Entry(to), &message);
            }
            Action::Owner(OwnerAction::Release { .. } | OwnerAction::SetTimer(_)) => {}
        }
    }

    pub(super) fn ledger_action(&mut self, at: usize, action: LedgerAction) {
        match action {
            LedgerAction::Run { key, waiter } => {
                let later = self.now + self.delay();
                let incarnation = self.agents[at].id.incarnation;
                self.post(later, Node::Agent(at), incarnation, Message::Dequeue(key, waiter));
            }
            LedgerAction::Reply { waiter, answer, replayed } => {
                let body = answer.body.clone();
                self.tell_caller(at, waiter, Outcome::Answered { body, replayed });
            }
            LedgerAction::Refuse { waiter, refusal } => {
                self.tell_caller(at, waiter, Outcome::Refused(refusal));
            }
            LedgerAction::Wait { .. }
            | LedgerAction::Dequeue { .. }
            | LedgerAction::SetTimer(_) => {}
        }
    }

    pub(super) fn tell_caller(&mut self, at: usize, waiter: RequestId, outcome: Outcome) {
        let entry = entry_of(waiter);
        self.send(Some((entry, at)), Node::Entry(entry), &Message::Outcome(waiter, outcome));
    }

    pub(super) fn agent_of(&self, owner: &OwnerId) -> usize {
        let same = |it: &Process<ServiceLedger>| it.id.process == owner.agent.process;
        self.agents.iter().position(same).unwrap_or_default()
    }
}
