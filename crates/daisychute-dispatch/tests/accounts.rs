//! Client accounts: requests without a key in force reach no endpoint, and endpoints are told the tenant, not the key.

mod common;

use std::sync::Arc;

use daisychute_core::TenantName;
use daisychute_dispatch::{
    Account, Accounts, Action, Credentials, Event, ForwardedIdentity, KeyHash, Reason, RequestInfo,
    Route, RouteTable, SendDecision, SendFailure,
};

use crate::common::{Front, HOST, PANEL};

const OWN_KEY: &str = "a key of the tenant";
const ROUTE_PRIORITY: u8 = 1;

fn tenant() -> TenantName {
    TenantName::try_from("acme").expect("a valid name")
}

fn key(text: &str) -> Credentials {
    Credentials::Key(KeyHash::of(text.as_bytes()))
}

/// Returns a configuration with one tenant, which has these keys and this priority.
fn accounts(keys: &[&str], priority: Option<u8>) -> Accounts {
    let keys = keys.iter().map(|it| KeyHash::of(it.as_bytes())).collect();
    Accounts::try_from(vec![Account { name: tenant(), keys, priority }]).expect("keys differ")
}

fn table(version: u64, accounts: impl Into<Option<Accounts>>) -> Arc<RouteTable> {
    Arc::new(common::unshared_table(version).with_accounts(accounts))
}

/// Returns the same configuration with all routes public.
fn public(table: &RouteTable) -> Arc<RouteTable> {
    let routes = table.routes().cloned().map(|it| Route { public: true, ..it });
    let services = table.services().cloned();
    let public = RouteTable::new(table.version(), routes, services, *table.limits());
    Arc::new(public.expect("routes differ").with_accounts(table.accounts().cloned()))
}

impl Front {
    fn with_table(table: Arc<RouteTable>) -> Self {
        let mut front = Self::new(common::fleet());
        front.handle(Event::Configured(table));
        front
    }

    fn arrive(&mut self, credentials: Credentials) -> Action {
        let key = self.next_key();
        let id = format!("id-{}", key.number());
        let request = RequestInfo::new(id, HOST, PANEL).credentials(credentials);
        self.handle(Event::arrived(key, request)).remove(0)
    }

    fn send(&mut self, credentials: Credentials) -> Option<SendDecision> {
        match self.arrive(credentials) {
            Action::Send { decision, .. } => Some(*decision),
            Action::Fail { reason: Reason::UnknownKey, .. } => None,
            other => panic!("neither sent nor refused for its key: {other:?}"),
        }
    }
}

/// The identity that an endpoint is told; `None` if the request reaches none.
fn identity(table: Arc<RouteTable>, credentials: Credentials) -> Option<ForwardedIdentity> {
    Front::with_table(table).send(credentials).map(|it| it.identity)
}

fn told(tenant: Option<TenantName>) -> Option<ForwardedIdentity> {
    Some(ForwardedIdentity::Tenant(tenant))
}

macro_rules! identities {
    ($($name:ident: $table:expr, $credentials:expr => $identity:expr,)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(identity($table, $credentials), $identity);
        }
    )*};
}

identities! {
    endpoint_is_told_the_tenant_of_a_key: table(2, accounts(&[OWN_KEY], None)), key(OWN_KEY) => told(Some(tenant())),
    each_key_of_a_tenant_is_accepted: table(2, accounts(&["first", OWN_KEY], None)), key(OWN_KEY) => told(Some(tenant())),
    unknown_key_reaches_no_endpoint: table(2, accounts(&[OWN_KEY], None)), key("another") => None,
    missing_key_reaches_no_endpoint: table(2, accounts(&[OWN_KEY], None)), Credentials::Missing => None,
    malformed_key_reaches_no_endpoint: table(2, accounts(&[OWN_KEY], None)), Credentials::Malformed => None,
    tenant_without_keys_reaches_no_endpoint: table(2, accounts(&[], None)), key(OWN_KEY) => None,
    deployment_that_lost_all_accounts_still_asks_for_keys: table(2, Accounts::default()), key(OWN_KEY) => None,
    public_route_needs_no_key: public(&table(2, accounts(&[OWN_KEY], None))), Credentials::Missing => told(None),
    public_route_ignores_an_unknown_key: public(&table(2, accounts(&[OWN_KEY], None))), key("another") => told(None),
    public_route_tells_a_known_tenant: public(&table(2, accounts(&[OWN_KEY], None))), key(OWN_KEY) => told(Some(tenant())),
    without_accounts_headers_stay_as_sent: table(2, None), key(OWN_KEY) => Some(ForwardedIdentity::AsSent),
}

#[test]
fn priority_of_a_tenant_goes_before_that_of_the_route() {
    for (priority, expected) in [(Some(7), 7), (None, ROUTE_PRIORITY)] {
        let mut front = Front::with_table(table(2, accounts(&[OWN_KEY], priority)));
        assert_eq!(front.send(key(OWN_KEY)).map(|it| it.priority), Some(expected));
    }
}

#[test]
fn front_without_configuration_says_that_the_request_has_not_run() {
    let mut dispatcher = daisychute_dispatch::Dispatcher::new(Default::default());
    let mut actions = Vec::new();
    let (key, request) = (Front::new([]).next_key(), RequestInfo::new("id", HOST, PANEL));
    dispatcher.handle(daisychute_core::Time::ZERO, Event::arrived(key, request), &mut actions);
    assert!(matches!(actions[0], Action::Refuse { reason: Reason::NoConfiguration, .. }));
}

/// A restart from an older copy, or a peer that missed the change, must not bring a withdrawn key back.
#[test]
fn withdrawn_key_stays_withdrawn_when_an_older_configuration_arrives() {
    let mut front = Front::with_table(table(2, accounts(&[OWN_KEY], None)));
    assert!(front.send(key(OWN_KEY)).is_some());
    front.handle(Event::Configured(table(3, accounts(&["another"], None))));
    assert!(front.send(key(OWN_KEY)).is_none());
    front.handle(Event::Configured(table(2, accounts(&[OWN_KEY], None))));
    assert!(front.send(key(OWN_KEY)).is_none());
    assert!(front.send(key("another")).is_some());
}

#[test]
fn request_that_was_accepted_is_repeated_after_its_key_was_withdrawn() {
    let mut front = Front::with_table(table(2, accounts(&[OWN_KEY], None)));
    let Action::Send { key: request, .. } = front.arrive(key(OWN_KEY)) else {
        panic!("the request isn't sent")
    };
    front.handle(Event::Configured(table(3, Accounts::default())));
    let failed = Event::SendFailed { key: request, failure: SendFailure::NoAnswer };
    let actions = front.handle(failed);
    let identity = actions.iter().find_map(|it| match it {
        Action::Send { decision, .. } => Some(decision.identity.clone()),
        _ => None,
    });
    assert_eq!(identity, told(Some(tenant())));
}

#[test]
fn key_of_two_accounts_is_an_error() {
    let account = |name: &str| Account {
        name: TenantName::try_from(name).expect("a valid name"),
        keys: vec![KeyHash::of(OWN_KEY.as_bytes())],
        priority: None,
    };
    assert!(Accounts::try_from(vec![account("one"), account("two")]).is_err());
    assert!(Accounts::try_from(vec![account("one"), account("one")]).is_err());
}

#[test]
fn key_and_its_hash_are_not_printed() {
    let printed = format!("{:?}", accounts(&[OWN_KEY], None));
    assert!(!printed.contains(OWN_KEY) && printed.contains("KeyHash(..)"), "{printed}");
}
