//! The callers of the model.

use super::*;

impl World {
    /// Sends a call through an entry and returns its request.
    pub fn call(&mut self, entry: usize, key: &CallKey, body: &'static [u8]) -> RequestId {
        let seq = self.requests.len() as u64;
        let id = RequestId::new(Incarnation::new(entry as u64), seq);
        let request = Request { key: key.clone(), body, outcome: None };
        self.requests.insert(id, request);
        self.note(|| format!("caller sends {} as {id}", key.as_str()));
        let process = &self.entries[entry];
        if !process.alive || process.paused {
            return id;
        }
        let to = match process.map.destination(key) {
            Destination::Any => Some(self.rng.random_range(0..AGENTS)),
            Destination::Owner(owner) => Some(self.agent_of(owner)),
            Destination::Nowhere => None,
        };
        match to {
            Some(to) => self.send(Some((entry, to)), Node::Agent(to), &Message::Start(id)),
            None => {
                let refusal = Refusal::not_run(RefusalReason::NoEndpoint);
                self.end(id, &Outcome::Refused(refusal));
            }
        }
        id
    }

    pub(super) fn end(&mut self, id: RequestId, outcome: &Outcome) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.outcome.is_none() {
            request.outcome = Some(outcome.clone());
            self.note(|| format!("{id} ends: {outcome:?}"));
        }
    }

    pub fn new_key(&mut self, entry: usize, kind: KeyKind) -> CallKey {
        let tenant = self.tenant.clone();
        let at = self.requests.len() as u64;
        match kind {
            KeyKind::Dated(skew) => {
                let millis = self.wall(i64::from(skew) * 1_000).as_millis();
                CallKey::from_caller(tenant, &uuid_v7(millis, at)).expect("a key")
            }
            KeyKind::Ageless => CallKey::from_caller(tenant, &format!("k{at}")).expect("a key"),
            KeyKind::Entry => {
                CallKey::from_entry(tenant, RequestId::new(Incarnation::new(entry as u64), at))
            }
        }
    }
}
