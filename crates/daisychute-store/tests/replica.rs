//! The replica core: events in, expected actions and revision out.

use bytes::Bytes;
use daisychute_core::{ProcessName, Revision, Time};
use daisychute_store::{Replica, ReplicaAction, ReplicaEvent, ReplicaSettings};

use ReplicaEvent::{Changed, Document, ListFailed, Listed, PeerRevision, PullFrom, Tick, Watcher};

type Configurations = Replica<daisychute_core::Configuration>;

fn body(revision: u64) -> Bytes {
    let text = format!(
        r#"{{"revision":{revision},"configuration":{{"preference":"goodput","classes":{{}},"tenants":{{}},"models":{{}},"services":{{}}}}}}"#
    );
    Bytes::from(text)
}

fn invalid_body(revision: u64) -> Bytes {
    let text = format!(
        r#"{{"revision":{revision},"configuration":{{"preference":"goodput","classes":{{}},"tenants":{{"t":{{"name":"t","token":null,"default_class":"c","classes":["c"]}}}},"models":{{}},"services":{{}}}}}}"#
    );
    Bytes::from(text)
}

fn peer(name: &str) -> ProcessName {
    ProcessName::try_from(name).unwrap()
}

fn listed(revision: u64) -> ReplicaEvent {
    Listed { version: "1".into(), body: Some(body(revision)) }
}

/// Passes the events one second apart and returns summaries of the actions, without the wake-ups.
fn run(replica: &mut Configurations, events: Vec<ReplicaEvent>) -> Vec<String> {
    let mut out = Vec::new();
    for (second, event) in events.into_iter().enumerate() {
        replica.handle(Time::from_millis(second as u64 * 1_000), event, &mut out);
    }
    out.iter().filter(|it| !matches!(it, ReplicaAction::WakeAt(_))).map(summary).collect()
}

fn summary(action: &ReplicaAction) -> String {
    match action {
        ReplicaAction::Pull { peer, have } => format!("pull {peer} {have}"),
        ReplicaAction::Send { peer, revision, .. } => format!("send {peer} {revision}"),
        ReplicaAction::Accepted { revision } => format!("accepted {revision}"),
        ReplicaAction::Rejected { error } => format!("rejected: {error}"),
        ReplicaAction::Watch { from } => format!("watch {from}"),
        other => format!("{other:?}"),
    }
}

macro_rules! cases {
    ($($name:ident: [$($event:expr),* $(,)?] => $revision:literal [$($action:expr),* $(,)?],)*) => {$(
        #[test]
        fn $name() {
            let mut replica = Configurations::new(ReplicaSettings::default(), 1);
            let actions = run(&mut replica, vec![$($event),*]);
            let expected: Vec<&str> = vec![$($action),*];
            assert_eq!(actions, expected);
            assert_eq!(replica.revision(), Revision::new($revision));
        }
    )*};
}

cases! {
    a_watcher_lists_then_watches: [Watcher(true), Tick, listed(4), Changed { body: body(5) }]
        => 5 ["List", "accepted 4", "watch 1", "accepted 5"],
    an_old_watch_event_changes_nothing: [Watcher(true), Tick, listed(4), Changed { body: body(3) }]
        => 4 ["List", "accepted 4", "watch 1"],
    a_stale_read_changes_nothing:
        [Document { peer: peer("a"), body: body(9) }, Watcher(true), Tick, listed(4)]
        => 9 ["accepted 9", "List", "watch 1"],
    an_invalid_document_is_rejected_as_a_whole:
        [Watcher(true), Tick, listed(4), Changed { body: invalid_body(5) }]
        => 4 ["List", "accepted 4", "watch 1",
              "rejected: tenant t names the class c, which does not exist"],
    a_deleted_object_changes_nothing:
        [Document { peer: peer("a"), body: body(9) }, Watcher(true), Tick,
         Listed { version: "1".into(), body: None }]
        => 9 ["accepted 9", "List", "watch 1"],
    the_first_document_comes_from_a_peer_while_the_platform_is_unavailable:
        [Tick, PeerRevision { peer: peer("a"), revision: Revision::new(7) },
         Document { peer: peer("a"), body: body(7) }, ListFailed]
        => 7 ["pull a 0", "accepted 7"],
    without_a_document_a_failed_read_is_retried_soon:
        [Tick, Tick, Tick, ListFailed, Tick, Tick] => 0 ["List", "List"],
    a_peer_that_exceeds_the_pull_timeout_is_skipped:
        [PeerRevision { peer: peer("a"), revision: Revision::new(7) },
         PeerRevision { peer: peer("b"), revision: Revision::new(6) },
         Document { peer: peer("b"), body: body(6) }]
        => 6 ["pull a 0", "pull b 0", "accepted 6"],
    a_pull_is_answered_only_with_a_newer_document:
        [Document { peer: peer("a"), body: body(7) },
         PullFrom { peer: peer("b"), have: Revision::new(6) },
         PullFrom { peer: peer("c"), have: Revision::new(7) }]
        => 7 ["accepted 7", "send b 7"],
    a_process_that_stops_being_a_watcher_closes_its_watch:
        [Watcher(true), Tick, listed(4), Watcher(false)]
        => 4 ["List", "accepted 4", "watch 1", "EndWatch"],
}

#[test]
fn with_a_document_an_unavailable_platform_is_read_rarely() {
    let mut replica = Configurations::new(ReplicaSettings::default(), 1);
    let events = [Document { peer: peer("a"), body: body(7) }].into_iter();
    let events: Vec<_> = events.chain((0..300).flat_map(|_| [Tick, ListFailed])).collect();
    let actions = run(&mut replica, events);
    let reads = actions.iter().filter(|it| *it == "List").count();
    assert!((10..=20).contains(&reads), "{reads} reads in ten minutes");
}
