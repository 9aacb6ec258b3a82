//! Everything that an agent needs to run the non-repeatable calls of its service at most once.

use daisychute_core::{RequestId, Time};

use crate::hand_over::HandOvers;
use crate::{
    CallDigest, CallKey, HandOverPart, HandOverTaken, LedgerAction, LedgerCore, LedgerEvent,
    LedgerLimits, NewCall, OwnerAction, OwnerCore, OwnerEvent, OwnerId, OwnerTimes, ProcessId,
    WallTime,
};

/// What a [`ServiceLedger`] is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServiceLedgerEvent {
    /// A non-repeatable call arrived.
    Call {
        /// The request that waits for the answer.
        waiter: RequestId,
        /// Its idempotency key.
        key: CallKey,
        /// Its digest.
        digest: CallDigest,
        /// The wall clock, read before the monotonic clock.
        wall: WallTime,
    },
    /// How a call ended, or a cancel.
    Ledger(LedgerEvent),
    /// What concerns the lease and the slots.
    Owner(OwnerEvent),
    /// Another owner hands records over to this one.
    HandOver(HandOverPart),
    /// The next owner has taken a part over.
    Taken(HandOverTaken),
    /// The time that [`ServiceLedgerAction::SetTimer`] named has come; also the first event.
    Tick,
}

/// What a [`ServiceLedger`] asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServiceLedgerAction {
    /// What concerns a call. [`LedgerAction::SetTimer`] does not occur.
    Ledger(LedgerAction),
    /// What concerns the platform and the standbys. [`OwnerAction::SetTimer`] and [`OwnerAction::Release`] do not
    /// occur.
    Owner(OwnerAction),
    /// Send this to the owner that it names.
    HandOver(HandOverPart),
    /// Send this to the owner that it is from.
    Taken(HandOverTaken),
    /// Send [`ServiceLedgerEvent::Tick`] at this time. It replaces any earlier timer.
    SetTimer(Time),
}

/// The ledger, the lease and the hand-overs of one agent of a plain service.
#[derive(Debug)]
pub struct ServiceLedger {
    ledger: LedgerCore,
    owner: OwnerCore,
    hand_overs: HandOvers,
    ledger_timer: Option<Time>,
    owner_timer: Option<Time>,
    timer: Option<Time>,
}

impl ServiceLedger {
    /// An agent with an empty ledger that owns nothing yet. It begins with a [`ServiceLedgerEvent::Tick`].
    #[must_use]
    pub fn new(agent: ProcessId, limits: LedgerLimits, times: OwnerTimes) -> Self {
        Self {
            ledger: LedgerCore::new(limits),
            owner: OwnerCore::new(agent, times),
            hand_overs: HandOvers::default(),
            ledger_timer: None,
            owner_timer: Some(Time::ZERO),
            timer: None,
        }
    }

    /// The ledger.
    #[must_use]
    pub const fn ledger(&self) -> &LedgerCore {
        &self.ledger
    }

    /// The lease and the slots.
    #[must_use]
    pub const fn owner(&self) -> &OwnerCore {
        &self.owner
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(
        &mut self,
        now: Time,
        event: ServiceLedgerEvent,
        out: &mut Vec<ServiceLedgerAction>,
    ) {
        match event {
            ServiceLedgerEvent::Call { waiter, key, digest, wall } => {
                let standing = self.owner.standing(now, &key);
                let call = NewCall { waiter, key, digest, standing, wall };
                self.tell_ledger(now, LedgerEvent::Call(call), out);
            }
            ServiceLedgerEvent::Ledger(event) => self.tell_ledger(now, event, out),
            ServiceLedgerEvent::Owner(event) => self.tell_owner(now, event, out),
            ServiceLedgerEvent::HandOver(part) => self.take_part(now, part, out),
            ServiceLedgerEvent::Taken(answer) => self.part_taken(now, &answer, out),
            ServiceLedgerEvent::Tick => self.tick(now, out),
        }
        self.send_parts(now, out);
        self.arm(now, out);
    }

    fn tell_ledger(&mut self, now: Time, event: LedgerEvent, out: &mut Vec<ServiceLedgerAction>) {
        let mut actions = Vec::new();
        self.ledger.handle(now, event, &mut actions);
        for action in actions {
            match action {
                LedgerAction::SetTimer(at) => self.ledger_timer = Some(at),
                action => out.push(ServiceLedgerAction::Ledger(action)),
            }
        }
    }

    fn tell_owner(&mut self, now: Time, event: OwnerEvent, out: &mut Vec<ServiceLedgerAction>) {
        let mut actions = Vec::new();
        self.owner.handle(now, event, &mut actions);
        for action in actions {
            match action {
                OwnerAction::SetTimer(at) => self.owner_timer = Some(at),
                OwnerAction::Release { slot, to } => self.hand_overs.begin(slot, to),
                action => out.push(ServiceLedgerAction::Owner(action)),
            }
        }
        self.hand_overs.retain(&self.owner);
    }

    fn take_part(&mut self, now: Time, part: HandOverPart, out: &mut Vec<ServiceLedgerAction>) {
        if part.to != *self.owner.id() || !self.ledger.import(now, &part.calls) {
            return;
        }
        let HandOverPart { from, to, slot, index, .. } = part;
        out.push(ServiceLedgerAction::Taken(HandOverTaken { from, to, slot, index }));
        self.tell_ledger(now, LedgerEvent::Tick, out);
    }

    fn part_taken(
        &mut self,
        now: Time,
        answer: &HandOverTaken,
        out: &mut Vec<ServiceLedgerAction>,
    ) {
        if self.hand_overs.taken(self.owner.id(), answer) {
            let (slot, to): (_, OwnerId) = (answer.slot, answer.to.clone());
            self.tell_owner(now, OwnerEvent::HandedOver { slot, to }, out);
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<ServiceLedgerAction>) {
        self.timer = None;
        if self.ledger_timer.take_if(|at| *at <= now).is_some() {
            self.tell_ledger(now, LedgerEvent::Tick, out);
        }
        if self.owner_timer.take_if(|at| *at <= now).is_some() {
            self.tell_owner(now, OwnerEvent::Tick, out);
        }
    }

    fn send_parts(&mut self, now: Time, out: &mut Vec<ServiceLedgerAction>) {
        let parts = self.hand_overs.send(now, &self.owner, &self.ledger);
        out.extend(parts.into_iter().map(ServiceLedgerAction::HandOver));
    }

    fn arm(&mut self, now: Time, out: &mut Vec<ServiceLedgerAction>) {
        let timers = [self.ledger_timer, self.owner_timer, self.hand_overs.next_send(now)];
        let next = timers.into_iter().flatten().min();
        if next != self.timer {
            self.timer = next;
            out.extend(next.map(ServiceLedgerAction::SetTimer));
        }
    }
}
