//! Refusals among tenants that compete for too little room.
//!
//! Pattern: one tenant sends ten times what the engine can prefill, others a little. All wait in the same queue, so without
//! fair refusals the others are refused as often as the one that fills it.

mod common;

use std::sync::Arc;
use std::time::Duration;

use daisychute_core::{Role, TenantName};
use daisychute_dispatch::{
    Account, Accounts, Action, Backlog, Credentials, Event, KeyHash, PeerLoad, Prompt, PromptPart,
    Reason, RequestInfo,
};

use crate::common::{Front, HOST, SHORT};

/// Time that the engine needs for one prompt, in ms.
const PREFILL_MS: f64 = 12.0;
/// Time between two arrivals of the tenant that floods, in ms; the engine keeps up with a tenth of them.
const FLOOD_INTERVAL_MS: u64 = 1;
/// Time between two arrivals of each other tenant, in ms: together a fifth of what the engine can do.
const OTHERS_INTERVAL_MS: u64 = 600;
const OTHERS: u64 = 10;
const DURATION_MS: u64 = 12_000;
/// Time until every tenant has sent requests and the queue has filled.
const WARM_UP_MS: u64 = 2_000;

fn tenant(number: u64) -> String {
    format!("tenant-{number}")
}

/// The tenants `0` (which floods) to `OTHERS`, whose keys are their names.
fn accounts() -> Accounts {
    let account = |name: String| Account {
        keys: vec![KeyHash::of(name.as_bytes())],
        name: TenantName::try_from(name).expect("a valid name"),
        priority: None,
    };
    let accounts: Vec<_> = (0..=OTHERS).map(|it| account(tenant(it))).collect();
    Accounts::try_from(accounts).expect("keys differ")
}

/// Requests sent and accepted, after the warm-up.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    sent: f64,
    accepted: f64,
}

impl Tally {
    fn share(self) -> f64 {
        self.accepted / self.sent
    }

    fn add(&mut self, accepted: bool) {
        self.sent += 1.0;
        self.accepted += f64::from(u8::from(accepted));
    }
}

/// One engine that prefills in order of arrival, as far as a front sees it.
struct Engine {
    front: Front,
    backlog_ms: f64,
}

impl Engine {
    fn new(accounts: Option<Accounts>) -> Self {
        let decodes = common::fleet().into_iter().find(|it| it.stage == Some(Role::Decode));
        let mut front = Front::new(decodes);
        let table = common::unshared_table(2).with_accounts(accounts);
        front.handle(Event::Configured(Arc::new(table)));
        Self { front, backlog_ms: 0.0 }
    }

    fn advance(&mut self) {
        self.front.wait(Duration::from_millis(1));
        self.backlog_ms = (self.backlog_ms - 1.0).max(0.0);
        self.front.handle(Event::Tick);
    }

    /// Sends a request behind the backlog and returns whether it is accepted.
    fn arrive(&mut self, of: &str) -> bool {
        let pending_prefill = Backlog::of(0, Duration::from_secs_f64(self.backlog_ms / 1e3));
        let load = PeerLoad { requests: 1, pending_prefill, ..PeerLoad::default() };
        let name = common::name("lm-4");
        self.front.handle(Event::PeerHeartbeat {
            peer: 1,
            loads: vec![(name, load)],
            parts: vec![],
        });
        let key = self.front.next_key();
        let parts = vec![PromptPart { key: key.number(), tokens: 383 }];
        let request = RequestInfo::new(format!("id-{}", key.number()), HOST, SHORT)
            .credentials(Credentials::Key(KeyHash::of(of.as_bytes())))
            .prompt(Prompt { parts, tokens: 383, max_output: 20 });
        let actions = self.front.handle(Event::arrived(key, request));
        let refused =
            actions.iter().any(|it| matches!(it, Action::Refuse { reason: Reason::Overload, .. }));
        if !refused {
            self.backlog_ms += PREFILL_MS;
            self.front.handle(Event::ClientDisconnected { key });
        }
        !refused
    }
}

/// Returns the tallies of the tenant that floods and of all others together.
fn flood(accounts: Option<Accounts>, flood_interval: u64) -> (Tally, Tally) {
    let mut engine = Engine::new(accounts);
    let (mut flooding, mut others) = (Tally::default(), Tally::default());
    for ms in 0..DURATION_MS {
        engine.advance();
        let counts = ms >= WARM_UP_MS;
        if ms % flood_interval == 0 {
            let accepted = engine.arrive(&tenant(0));
            if counts {
                flooding.add(accepted);
            }
        }
        for number in 1..=OTHERS {
            if (ms + number * 61) % OTHERS_INTERVAL_MS == 0 {
                let accepted = engine.arrive(&tenant(number));
                if counts {
                    others.add(accepted);
                }
            }
        }
    }
    (flooding, others)
}

#[test]
fn tenant_that_floods_does_not_displace_the_others() {
    let (_, without) = flood(None, FLOOD_INTERVAL_MS);
    let (flooding, others) = flood(Some(accounts()), FLOOD_INTERVAL_MS);
    assert!(
        others.share() >= 0.9,
        "others accepted: {} (without: {})",
        others.share(),
        without.share()
    );
    // Room that the others leave isn't wasted.
    assert!(flooding.accepted >= 0.6 * 1e4 / PREFILL_MS, "flooding tenant accepted: {flooding:?}");
}

/// A large tenant alone isn't refused for its size: only competition counts.
#[test]
fn large_tenant_is_not_refused_while_there_is_room() {
    let (large, others) = flood(Some(accounts()), 20);
    assert_eq!((large.share(), others.share()), (1.0, 1.0));
}
