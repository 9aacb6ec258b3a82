//! The platform of the model.

use super::*;

impl World {
    pub(super) fn unreachable(&self, node: Node) -> bool {
        let cut = match node {
            Node::Agent(at) => self.agents[at].no_platform,
            Node::Entry(at) => self.entries[at].no_platform,
        };
        self.outage || cut
    }

    pub(super) fn read<T>(
        &mut self,
        node: Node,
        get: impl Fn(&mut Self) -> ReadResult<T>,
    ) -> ReadResult<T> {
        let lost = self.lossy && self.rng.random_ratio(1, 4);
        if lost || self.unreachable(node) { ReadResult::Failed } else { get(self) }
    }

    pub(super) fn answer(&mut self, node: Node, message: Message) {
        let at = self.now + Duration::from_millis(self.rng.random_range(2..200));
        self.post(at, node, self.incarnation(node), message);
    }

    pub(super) fn put(&mut self, node: Node, seq: u64, expect: Version, put: Put) {
        let result = if self.unreachable(node) {
            PutResult::Unclear
        } else if self.lossy && self.rng.random_ratio(1, 2) {
            let at = self.now + Duration::from_millis(self.rng.random_range(1..9_000));
            self.post(at, node, self.incarnation(node), Message::Put { seq, expect, put });
            PutResult::Unclear
        } else {
            let writer = self.id(node, self.incarnation(node));
            self.apply(&writer, seq, expect, put)
        };
        let message = match node {
            Node::Agent(_) => Message::Agent(Event::Owner(OwnerEvent::Put { seq, result })),
            Node::Entry(_) => Message::Entry(TakeoverEvent::Put { seq, result }),
        };
        self.answer(node, message);
    }

    pub(super) fn apply(
        &mut self,
        writer: &ProcessId,
        seq: u64,
        expect: Version,
        put: Put,
    ) -> PutResult {
        match put {
            Put::Lease(key, lease) => self.leases.put(writer, seq, &key, expect, lease),
            Put::Table(table) => self.tables.put(writer, seq, &(), expect, table),
        }
    }
}
