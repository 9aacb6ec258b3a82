//! The faults of the model.

use super::*;

impl World {
    pub fn step(&mut self, step: Step) {
        let agent = |it: u8| usize::from(it) % AGENTS;
        let entry = |it: u8| usize::from(it) % ENTRIES;
        if !matches!(step, Step::Call { .. } | Step::Repeat { .. } | Step::Wait(_)) {
            self.note(|| format!("{step:?}"));
        }
        match step {
            Step::Call { entry: at, kind } => {
                let key = self.new_key(entry(at), kind);
                self.keys.push((key.clone(), b"a"));
                self.call(entry(at), &key, b"a");
            }
            Step::Repeat { entry: at, back, other_body } => {
                let repeatable = |it: &&(CallKey, _)| it.0.origin() == KeyOrigin::Caller;
                let nth = self.keys.iter().rev().filter(repeatable).nth(usize::from(back));
                if let Some((key, body)) = nth.cloned() {
                    self.call(entry(at), &key, if other_body { b"b" } else { body });
                }
            }
            Step::Wait(quarters) => {
                self.run_for(Duration::from_millis(250) * u32::from(quarters));
            }
            Step::KillAgent(at) => self.kill(Node::Agent(agent(at))),
            Step::KillEntry(at) => self.kill(Node::Entry(entry(at))),
            Step::PauseAgent(at, secs) => self.pause(Node::Agent(agent(at)), secs),
            Step::PauseEntry(at, secs) => self.pause(Node::Entry(entry(at)), secs),
            Step::Outage(on) => self.outage = on,
            Step::CutPlatform(at, on) => self.agents[agent(at)].no_platform = on,
            Step::CutEntry(at, on) => self.entries[entry(at)].no_platform = on,
            Step::CutLink(at, to, true) => {
                self.cut.insert((entry(at), agent(to)));
            }
            Step::CutLink(at, to, false) => {
                self.cut.remove(&(entry(at), agent(to)));
            }
            Step::LossyPlatform(on) => self.lossy = on,
            Step::RoughNetwork(on) => self.rough = on,
            Step::Leave(at) => self.leave(agent(at)),
            Step::SecondAssigner(on) => self.tell_entry(1, TakeoverEvent::Assigner(on)),
        }
        self.run_for(Duration::from_millis(5));
    }

    pub(super) fn leave(&mut self, at: usize) {
        let others = (0..AGENTS).filter(|it| *it != at);
        let to = others.map(|it| self.agents[it].core.owner().id().clone()).collect();
        if self.agents[at].alive && !self.agents[at].paused {
            self.agents[at].leaving = true;
            self.tell_agent(at, Event::Owner(OwnerEvent::Leave { to }));
            let stop = self.now + Duration::from_secs(20);
            self.post(stop, Node::Agent(at), self.agents[at].id.incarnation, Message::Restart);
        }
    }

    pub(super) fn kill(&mut self, node: Node) {
        match node {
            Node::Agent(at) => self.agents[at].alive = false,
            Node::Entry(at) => self.entries[at].alive = false,
        }
        let at = self.now + Duration::from_millis(self.rng.random_range(500..20_000));
        self.post(at, node, self.incarnation(node), Message::Restart);
    }

    pub(super) fn restart(&mut self, node: Node) {
        match node {
            Node::Agent(at) => {
                let id = next_incarnation(&self.agents[at].id);
                let core = ServiceLedger::new(id.clone(), self.limits, self.times);
                let old = &self.agents[at];
                let (skew, cut) = (old.skew_ms, old.no_platform);
                self.agents[at] = Process::new(id, core, skew);
                self.agents[at].no_platform = cut;
            }
            Node::Entry(at) => {
                let id = next_incarnation(&self.entries[at].id);
                let core = TakeoverCore::new(id.clone(), self.times, SLOTS);
                let skew = self.entries[at].skew_ms;
                self.entries[at] = Process::new(id, core, skew);
                if at == 0 {
                    self.tell_entry(0, TakeoverEvent::Assigner(true));
                }
            }
        }
        self.start(node);
    }

    pub(super) fn pause(&mut self, node: Node, secs: u8) {
        match node {
            Node::Agent(at) => self.agents[at].paused = true,
            Node::Entry(at) => self.entries[at].paused = true,
        }
        let at = self.now + Duration::from_secs(u64::from(secs));
        self.post(at, node, self.incarnation(node), Message::Resume);
    }

    pub(super) fn resume(&mut self, node: Node) {
        let inbox = match node {
            Node::Agent(at) => {
                self.agents[at].paused = false;
                std::mem::take(&mut self.agents[at].inbox)
            }
            Node::Entry(at) => {
                self.entries[at].paused = false;
                std::mem::take(&mut self.entries[at].inbox)
            }
        };
        let incarnation = self.incarnation(node);
        for message in inbox {
            self.deliver(node, incarnation, message);
        }
    }

    /// Ends every fault, and runs until everything has settled.
    pub fn heal(&mut self) {
        self.outage = false;
        self.lossy = false;
        self.rough = false;
        self.cut.clear();
        self.agents.iter_mut().for_each(|it| it.no_platform = false);
        self.entries.iter_mut().for_each(|it| it.no_platform = false);
        self.run_for(Duration::from_secs(110));
    }

    /// Lets the ledgers see the time at which nothing is to be remembered any more.
    pub fn pass_retention(&mut self) {
        let later = self.now + 2 * self.limits.retention;
        for it in &mut self.agents {
            it.core.handle(later, Event::Ledger(LedgerEvent::Tick), &mut Vec::new());
        }
    }

    /// How often a slot has changed its owner.
    pub fn changes_of_owner(&self) -> u64 {
        let table = self.tables.peek(&()).map(|it| &it.body);
        table.map_or(0, |it| it.iter().map(|(_, it)| it.epoch.saturating_sub(1)).sum())
    }

    /// How many slots the first owner of this name still has.
    pub fn owned_by(&self, agent: u8) -> usize {
        let id = OwnerId::first(process("agent", usize::from(agent) % AGENTS, 1));
        self.tables.peek(&()).map_or(0, |it| it.body.owned_by(&id).count())
    }

    /// The agents that live.
    pub fn agents(&self) -> impl Iterator<Item = &ServiceLedger> {
        self.agents.iter().filter(|it| it.alive && !it.paused).map(|it| &it.core)
    }

    /// The agent that owns a key by the newest table of an entry.
    pub fn owner_of(&self, key: &CallKey) -> Option<u8> {
        match self.entries[0].map.destination(key) {
            Destination::Owner(owner) => u8::try_from(self.agent_of(owner)).ok(),
            _ => None,
        }
    }

    /// A new key in the slots of the same owner.
    pub fn key_of_same_owner(&mut self, key: &CallKey) -> CallKey {
        loop {
            self.run_for(Duration::from_millis(1));
            let other = self.new_key(0, KeyKind::Dated(0));
            if self.owner_of(&other) == self.owner_of(key) {
                return other;
            }
        }
    }

    pub fn note(&mut self, text: impl Fn() -> String) {
        let now = self.now;
        if let Some(log) = &mut self.log {
            log.push(format!("{now} {}", text()));
        }
    }
}
