//! The ledger of one agent.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::mem;
use std::sync::Arc;

use daisychute_core::{Refusal, RefusalReason, RequestId, Time, Verdict};
use rustc_hash::FxBuildHasher;

use super::record::{Record, State};
use super::refused::RefusedRequests;
use crate::{
    Answer, CallKey, EndedCall, Ending, KeyOrigin, LedgerAction, LedgerEvent, LedgerLimits, NewCall,
};

/// Remembers which keys run or have run, so that none runs twice and every repeat gets the same answer.
///
/// It holds at most [`LedgerLimits::max_bytes`]. At the limit new keys are refused as `not_run`; no record is
/// dropped inside its retention.
#[derive(Debug)]
pub struct LedgerCore {
    limits: LedgerLimits,
    // Looked up only; never iterated where the order could show.
    records: HashMap<CallKey, Record, FxBuildHasher>,
    // Invariant: the running keys that have a waiter, by waiter.
    waiting: BTreeMap<RequestId, CallKey>,
    // Invariant: the ended records, by expiry.
    expiries: BTreeSet<(Time, CallKey)>,
    refused: RefusedRequests,
    bytes: usize,
    timer: Option<Time>,
}

impl LedgerCore {
    /// An empty ledger.
    #[must_use]
    pub fn new(limits: LedgerLimits) -> Self {
        Self {
            limits,
            records: HashMap::default(),
            waiting: BTreeMap::new(),
            expiries: BTreeSet::new(),
            refused: RefusedRequests::new(limits.max_refused),
            bytes: 0,
            timer: None,
        }
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Time, event: LedgerEvent, out: &mut Vec<LedgerAction>) {
        self.expire(now);
        match event {
            LedgerEvent::Call(call) => self.call(now, call, out),
            LedgerEvent::Answered { key, answer } => self.answered(now, &key, answer, out),
            LedgerEvent::NotSent { key, refusal } => self.not_sent(now, &key, refusal, out),
            LedgerEvent::Lost { key, refusal } => self.lost(now, &key, refusal, out),
            LedgerEvent::Cancel { waiter } => self.cancel(waiter, out),
            LedgerEvent::Tick => self.timer = None,
        }
        self.arm(out);
    }

    /// Bytes that the records take, with the room reserved for answers of running calls.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// How many keys are recorded.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is remembered, refused requests included.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.refused.is_empty()
    }

    /// The ended calls whose key `wanted` accepts, by expiry.
    pub fn ended(&self, wanted: impl Fn(&CallKey) -> bool) -> Vec<EndedCall> {
        let keys = self.expiries.iter().map(|(_, key)| key).filter(|it| wanted(it));
        keys.filter_map(|it| self.ended_call(it)).collect()
    }

    /// Whether a key that `wanted` accepts still runs.
    pub fn is_running(&self, wanted: impl Fn(&CallKey) -> bool) -> bool {
        self.records.iter().any(|(key, it)| it.expires.is_none() && wanted(key))
    }

    /// Takes over ended calls of an earlier owner, if there is room for all of them.
    ///
    /// Returns whether they were taken.
    pub fn import(&mut self, now: Time, calls: &[EndedCall]) -> bool {
        let fresh = |it: &&EndedCall| !self.records.contains_key(&it.key);
        let needed: usize = calls.iter().filter(fresh).map(EndedCall::len_bytes).sum();
        if self.bytes + needed > self.limits.max_bytes {
            return false;
        }
        for call in calls {
            self.import_one(now, call);
        }
        true
    }

    fn import_one(&mut self, now: Time, call: &EndedCall) {
        if self.records.contains_key(&call.key) {
            return;
        }
        let bytes = call.len_bytes();
        let expires = now + self.limits.retention;
        let state = State::Ended(call.ending.clone());
        let record = Record { digest: call.digest, state, bytes, expires: Some(expires) };
        self.bytes += bytes;
        self.expiries.insert((expires, call.key.clone()));
        self.records.insert(call.key.clone(), record);
    }

    fn ended_call(&self, key: &CallKey) -> Option<EndedCall> {
        let record = self.records.get(key)?;
        match &record.state {
            State::Ended(ending) => {
                Some(EndedCall { key: key.clone(), digest: record.digest, ending: ending.clone() })
            }
            State::Running { .. } => None,
        }
    }

    fn call(&mut self, now: Time, call: NewCall, out: &mut Vec<LedgerAction>) {
        if let Some(refusal) = self.refused.get(call.waiter) {
            out.push(LedgerAction::Refuse { waiter: call.waiter, refusal });
            return;
        }
        match self.records.get(&call.key) {
            Some(record) if record.digest != call.digest => {
                self.refuse(now, call.waiter, Refusal::not_run(RefusalReason::KeyReused), out);
            }
            Some(_) => self.repeat(call, out),
            None => self.first(now, call, out),
        }
    }

    fn repeat(&mut self, call: NewCall, out: &mut Vec<LedgerAction>) {
        let Some(record) = self.records.get_mut(&call.key) else { return };
        let waiter = call.waiter;
        match &mut record.state {
            State::Running { waiters } => {
                if waiters.insert(waiter) {
                    self.waiting.insert(waiter, call.key);
                    out.push(LedgerAction::Wait { waiter });
                }
            }
            State::Ended(ending) => out.push(reply(waiter, ending, true)),
        }
    }

    fn first(&mut self, now: Time, call: NewCall, out: &mut Vec<LedgerAction>) {
        let admitted = call.standing.admit(&call.key, call.wall, self.limits.retention);
        if let Err(refusal) = admitted {
            self.refuse(now, call.waiter, refusal, out);
            return;
        }
        let bytes =
            LedgerLimits::RECORD_BYTES + call.key.len_bytes() + self.limits.max_answer_bytes;
        if self.bytes + bytes > self.limits.max_bytes {
            self.refuse(now, call.waiter, Refusal::not_run(RefusalReason::MemoryBound), out);
            return;
        }
        let state = State::Running { waiters: BTreeSet::from([call.waiter]) };
        let record = Record { digest: call.digest, state, bytes, expires: None };
        self.bytes += bytes;
        self.records.insert(call.key.clone(), record);
        self.waiting.insert(call.waiter, call.key.clone());
        out.push(LedgerAction::Run { key: call.key, waiter: call.waiter });
    }

    fn answered(&mut self, now: Time, key: &CallKey, answer: Answer, out: &mut Vec<LedgerAction>) {
        let answer = Arc::new(answer);
        let ending = if answer.len_bytes() > self.limits.max_answer_bytes {
            Ending::Unknown(Refusal::unknown(RefusalReason::MemoryBound))
        } else {
            Ending::Answered(Arc::clone(&answer))
        };
        let waiters = self.end(now, key, ending);
        out.extend(waiters.into_iter().map(|waiter| LedgerAction::Reply {
            waiter,
            answer: Arc::clone(&answer),
            replayed: false,
        }));
    }

    fn lost(&mut self, now: Time, key: &CallKey, refusal: Refusal, out: &mut Vec<LedgerAction>) {
        let refusal = Refusal { verdict: Verdict::Unknown, ..refusal };
        let waiters = self.end(now, key, Ending::Unknown(refusal));
        out.extend(waiters.into_iter().map(|waiter| LedgerAction::Refuse { waiter, refusal }));
    }

    fn not_sent(
        &mut self,
        now: Time,
        key: &CallKey,
        refusal: Refusal,
        out: &mut Vec<LedgerAction>,
    ) {
        if self.records.get(key).is_none_or(|it| it.expires.is_some()) {
            return;
        }
        let Some(record) = self.records.remove(key) else { return };
        self.bytes -= record.bytes;
        let State::Running { waiters } = record.state else { return };
        for waiter in waiters {
            self.waiting.remove(&waiter);
            self.refuse(now, waiter, refusal, out);
        }
    }

    /// Marks a running key as ended and returns who waits. Does nothing for any other key.
    fn end(&mut self, now: Time, key: &CallKey, ending: Ending) -> BTreeSet<RequestId> {
        let Some(record) = self.records.get_mut(key) else { return BTreeSet::new() };
        let State::Running { waiters } = &mut record.state else { return BTreeSet::new() };
        let waiters = mem::take(waiters);
        let retention = match key.origin() {
            KeyOrigin::Caller => self.limits.retention,
            KeyOrigin::Entry => self.limits.entry_key_retention,
        };
        let ended = EndedCall { key: key.clone(), digest: record.digest, ending };
        self.bytes = self.bytes - record.bytes + ended.len_bytes();
        record.bytes = ended.len_bytes();
        record.state = State::Ended(ended.ending);
        record.expires = Some(now + retention);
        self.expiries.insert((now + retention, ended.key));
        for waiter in &waiters {
            self.waiting.remove(waiter);
        }
        waiters
    }

    fn cancel(&mut self, waiter: RequestId, out: &mut Vec<LedgerAction>) {
        let Some(key) = self.waiting.get(&waiter) else { return };
        let Some(record) = self.records.get_mut(key) else { return };
        let State::Running { waiters } = &mut record.state else { return };
        if waiters.len() == 1 {
            out.push(LedgerAction::Dequeue { key: key.clone() });
            return;
        }
        waiters.remove(&waiter);
        self.waiting.remove(&waiter);
        let refusal = Refusal::unknown(RefusalReason::Cancelled);
        out.push(LedgerAction::Refuse { waiter, refusal });
    }

    /// Refuses a request and remembers it, so that a late copy is refused alike. Where there is no room to remember
    /// it, `not_run` can't be promised.
    fn refuse(
        &mut self,
        now: Time,
        waiter: RequestId,
        mut refusal: Refusal,
        out: &mut Vec<LedgerAction>,
    ) {
        let expires = now + self.limits.refused_retention;
        if !self.refused.insert(waiter, refusal, expires) {
            refusal.verdict = Verdict::Unknown;
        }
        out.push(LedgerAction::Refuse { waiter, refusal });
    }

    fn expire(&mut self, now: Time) {
        self.refused.expire(now);
        while self.expiries.first().is_some_and(|(expires, _)| *expires <= now) {
            let Some((_, key)) = self.expiries.pop_first() else { return };
            if let Some(record) = self.records.remove(&key) {
                self.bytes -= record.bytes;
            }
        }
    }

    fn arm(&mut self, out: &mut Vec<LedgerAction>) {
        let records = self.expiries.first().map(|(expires, _)| *expires);
        let next = [records, self.refused.next_expiry()].into_iter().flatten().min();
        if next != self.timer {
            self.timer = next;
            out.extend(next.map(LedgerAction::SetTimer));
        }
    }
}

fn reply(waiter: RequestId, ending: &Ending, replayed: bool) -> LedgerAction {
    match ending {
        Ending::Answered(answer) => {
            LedgerAction::Reply { waiter, answer: Arc::clone(answer), replayed }
        }
        Ending::Unknown(refusal) => LedgerAction::Refuse { waiter, refusal: *refusal },
    }
}
