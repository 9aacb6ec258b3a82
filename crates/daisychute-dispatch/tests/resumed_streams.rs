//! Streams that go on after events which their clients have, in a service of several software versions.

mod common;

use std::sync::Arc;
use std::time::Duration;

use daisychute_core::{Role, SoftwareVersion, Time};
use daisychute_dispatch::{
    Action, Backend, Backends, ClientLimits, DirectoryRead, Endpoint, Event, FrontPosition, Prompt,
    PromptPart, Reason, RecordedVersions, Removal, RequestInfo, RequestKey, RequestKind,
    Resumption, Route, RouteTable, SendDecision, SendFailure, ServiceSpec, StreamOrigin, Task,
};

use crate::common::{Front, HOST, LONG, SHORT, endpoint, name, route, service, services};

/// Time after which a front knows of all versions that may have begun a stream of [`LONG`].
const HISTORY: Duration = Duration::from_secs(10);
/// Id of the attempt that brought the first event of a stream.
const FIRST_ATTEMPT: &str = "first";

fn version(text: &str) -> SoftwareVersion {
    text.try_into().expect("a valid name")
}

fn with_version(endpoint: Endpoint, text: &str) -> Endpoint {
    Endpoint { software_version: Some(version(text)), ..endpoint }
}

/// Returns one prefill engine, and decode engines of these versions.
fn engines(versions: &[&str]) -> Vec<Endpoint> {
    let prefill = with_version(endpoint(0, "lm", Some(Role::Prefill)), "v1");
    let decode = |(index, text): (usize, &&str)| {
        with_version(endpoint(index + 1, "lm", Some(Role::Decode)), text)
    };
    std::iter::once(prefill).chain(versions.iter().enumerate().map(decode)).collect()
}

fn request(id: &str, path: &str) -> RequestInfo {
    let parts = vec![PromptPart { key: 1, tokens: 100 }];
    let prompt = Prompt { parts, tokens: 100, max_output: 50 };
    RequestInfo::new(id, HOST, path).client_timeout(Duration::from_secs(5)).prompt(prompt)
}

fn resumption(first_attempt: Option<&str>) -> RequestInfo {
    let first_attempt = first_attempt.map(Into::into);
    request("resumed", LONG).resumption(Resumption { first_attempt })
}

fn arrive(front: &mut Front, request: RequestInfo) -> (RequestKey, Vec<Action>) {
    let key = front.next_key();
    (key, front.handle(Event::arrived(key, request)))
}

/// Returns until when a request waits for news.
fn awaited(actions: &[Action]) -> Option<Time> {
    actions.iter().find_map(|it| match it {
        Action::AwaitNews { until, .. } => Some(*until),
        _ => None,
    })
}

/// Plays a request that waits for news in vain.
fn resume(front: &mut Front, request: RequestInfo) -> Vec<Action> {
    let (key, mut actions) = arrive(front, request);
    while let Some(until) = awaited(&actions) {
        front.now = until;
        actions = front.handle(Event::NewsAwaited { key });
    }
    actions
}

/// Plays a request while which the directory is read, with these versions of the engines in its record.
fn resume_after_read(front: &mut Front, request: RequestInfo, versions: &[&str]) -> Vec<Action> {
    front.wait(Duration::from_millis(1));
    let (key, actions) = arrive(front, request);
    assert!(awaited(&actions).is_some(), "{actions:?}");
    record(front, versions);
    front.handle(Event::NewsAwaited { key })
}

fn sent(actions: &[Action]) -> Option<&SendDecision> {
    actions.iter().find_map(|it| match it {
        Action::Send { decision, .. } => Some(&**decision),
        _ => None,
    })
}

fn refused(actions: &[Action]) -> Option<Reason> {
    actions.iter().find_map(|it| match it {
        Action::Refuse { reason, .. } => Some(*reason),
        _ => None,
    })
}

fn announced(actions: &[Action]) -> Vec<&StreamOrigin> {
    let mut origins = Vec::new();
    for action in actions {
        if let Action::AnnounceOrigin { origin, .. } = action {
            origins.push(origin);
        }
    }
    origins
}

fn report_origin(front: &mut Front, text: &str, time_left: Duration) {
    let attempt = StreamOrigin::attempt(FIRST_ATTEMPT);
    let service = Some(service("lm"));
    let origin = StreamOrigin { attempt, service, version: Some(version(text)), time_left };
    front.handle(Event::OriginsReported { origins: vec![origin] });
}

/// Starts a stream and plays its first event. Returns the version that sent it, and the actions.
fn begin(front: &mut Front, request: RequestInfo) -> (RequestKey, SoftwareVersion, Vec<Action>) {
    let (key, actions) = arrive(front, request);
    let decision = sent(&actions).expect("a send attempt");
    assert_ne!(decision.task, Task::Prefill);
    let version = decision.software_version.clone().expect("a version");
    front.handle(Event::ResponseStarted { key });
    (key, version, front.handle(Event::FirstOutput { key }))
}

/// Guards against streams that a front takes up, after a worker broke them off, at another software version.
#[test]
fn broken_stream_goes_on_at_the_version_that_began_it() {
    for id in 0..20 {
        let mut front = Front::new(engines(&["v1", "v2", "v1", "v2", "v3"]));
        let (key, begun_at, _) = begin(&mut front, request(&format!("id-{id}"), LONG));
        let failure = SendFailure::MidAnswer { head_passed: true };
        let actions = front.handle(Event::SendFailed { key, failure });
        match sent(&actions) {
            Some(decision) => assert_eq!(decision.software_version, Some(begun_at)),
            None => assert_eq!(begun_at, version("v3"), "{actions:?}"),
        }
    }
}

/// Guards against streams that a client resumes, after its front has told where they began, at another version.
#[test]
fn stream_goes_on_at_the_version_that_a_peer_reported() {
    for text in ["v1", "v2"] {
        let mut front = Front::new(engines(&["v1", "v2", "v1", "v2"]));
        report_origin(&mut front, text, Duration::from_secs(3));
        let (_, actions) = arrive(&mut front, resumption(Some(FIRST_ATTEMPT)));
        let decision = sent(&actions).expect("a send attempt");
        assert_eq!(decision.software_version, Some(version(text)));
    }
}

#[test]
fn stream_that_began_here_goes_on_at_its_version() {
    let mut front = Front::new(engines(&["v1", "v2"]));
    let (key, begun_at, _) = begin(&mut front, request(FIRST_ATTEMPT, LONG));
    front.handle(Event::ClientDisconnected { key });
    let (_, actions) = arrive(&mut front, resumption(Some(FIRST_ATTEMPT)));
    assert_eq!(sent(&actions).expect("a send attempt").software_version, Some(begun_at));
}

/// Guards against a stream whose first attempt is known to the front that resumed it, and not to others.
#[test]
fn front_that_resumes_a_stream_announces_its_first_attempt() {
    let mut front = Front::new(engines(&["v1", "v2"]));
    report_origin(&mut front, "v2", Duration::from_secs(3));
    let (_, _, actions) = begin(&mut front, resumption(Some(FIRST_ATTEMPT)));
    let origins = announced(&actions);
    assert_eq!(origins.len(), 1);
    assert_eq!(origins[0].attempt, StreamOrigin::attempt(FIRST_ATTEMPT));
    assert_eq!(origins[0].version, Some(version("v2")));
}

#[test]
fn origin_is_announced_once_and_at_once_among_several_versions() {
    let mut front = Front::new(engines(&["v1", "v2"]));
    front.wait(Duration::from_millis(10));
    let (key, begun_at, actions) = begin(&mut front, request(FIRST_ATTEMPT, LONG));
    let origin = StreamOrigin {
        attempt: StreamOrigin::attempt(FIRST_ATTEMPT),
        service: Some(service("lm")),
        version: Some(begun_at),
        time_left: Duration::from_secs(5),
    };
    assert_eq!(announced(&actions), [&origin]);
    assert!(actions.contains(&Action::AnnounceOrigin { origin, at_once: true }));
    assert!(announced(&front.handle(Event::FirstOutput { key })).is_empty());
}

#[test]
fn origin_of_a_stream_that_cannot_be_resumed_is_not_announced() {
    let mut front = Front::new(engines(&["v1", "v2"]));
    let (_, _, actions) = begin(&mut front, request(FIRST_ATTEMPT, SHORT));
    assert!(announced(&actions).is_empty());
}

/// Guards against streams of an unknown version that go on at any.
#[test]
fn stream_of_unknown_version_is_refused_among_several() {
    let mut front = Front::new(engines(&["v1", "v2"]));
    front.wait(HISTORY);
    for first_attempt in [Some(FIRST_ATTEMPT), None] {
        let actions = resume_after_read(&mut front, resumption(first_attempt), &["v1", "v2"]);
        assert_eq!(refused(&actions), Some(Reason::OriginUnknown), "{actions:?}");
        assert!(sent(&actions).is_none());
    }
}

#[test]
fn stream_of_unknown_version_goes_on_if_there_was_only_one() {
    let mut front = Front::new(engines(&["v1", "v1"]));
    front.wait(HISTORY);
    for first_attempt in [Some(FIRST_ATTEMPT), None] {
        let actions = resume_after_read(&mut front, resumption(first_attempt), &["v1"]);
        assert!(sent(&actions).is_some(), "{actions:?}");
    }
}

/// Guards against a front that takes the only version that it knows for the only one there was, however long it has known the
/// service (ORDER).
#[test]
fn stream_of_unknown_version_is_refused_without_a_read() {
    let mut front = Front::new(engines(&["v1", "v1"]));
    front.wait(HISTORY * 10);
    for first_attempt in [Some(FIRST_ATTEMPT), None] {
        let actions = resume(&mut front, resumption(first_attempt));
        assert_eq!(refused(&actions), Some(Reason::OriginUnknown), "{actions:?}");
    }
}

/// Guards against a front that has just started, and takes the only version that it knows for the only one there was.
#[test]
fn stream_of_unknown_version_is_refused_by_a_front_that_knows_the_service_for_a_moment() {
    let mut front = Front::new(engines(&["v1", "v1"]));
    front.wait(Duration::from_secs(1));
    let actions = resume(&mut front, resumption(Some(FIRST_ATTEMPT)));
    assert_eq!(refused(&actions), Some(Reason::OriginUnknown));
}

/// Guards against a front that is cut off from all others while they send streams to workers of a new version.
#[test]
fn stream_of_unknown_version_is_refused_by_a_front_that_hears_no_other() {
    let mut front = Front::new(engines(&["v1", "v1"]));
    let heartbeat = || Event::PeerHeartbeat { peer: 1, loads: Vec::new(), parts: Vec::new() };
    front.wait(HISTORY);
    front.handle(heartbeat());
    front.wait(Duration::from_secs(2));
    let actions = resume(&mut front, resumption(Some(FIRST_ATTEMPT)));
    assert_eq!(refused(&actions), Some(Reason::OriginUnknown), "{actions:?}");
    front.handle(heartbeat());
    let actions = resume(&mut front, resumption(Some(FIRST_ATTEMPT)));
    assert_eq!(refused(&actions), Some(Reason::OriginUnknown), "{actions:?}");
    let actions = resume_after_read(&mut front, resumption(Some(FIRST_ATTEMPT)), &["v1"]);
    assert!(sent(&actions).is_some(), "{actions:?}");
}

/// Each case has what a front notices after a time in which it missed that others began streams at a new version.
macro_rules! out_of_step {
    ($($name:ident: $notice:expr;)*) => {$(
        /// Guards against streams of a version that joined while this front was cut off or stood still, and that it then
        /// takes up at the only version it knows (ORDER).
        #[test]
        fn $name() {
            let mut front = Front::new(engines(&["v1", "v1"]));
            front.wait(HISTORY);
            let heartbeat = Event::PeerHeartbeat { peer: 1, loads: Vec::new(), parts: Vec::new() };
            front.handle(heartbeat.clone());
            let notice: fn(&mut Front, Event) -> Vec<Action> = $notice;
            let noticed = notice(&mut front, heartbeat);
            for first_attempt in [Some(FIRST_ATTEMPT), None] {
                let actions = resume(&mut front, resumption(first_attempt));
                assert_eq!(refused(&actions), Some(Reason::OriginUnknown), "{actions:?}");
            }
            assert!(noticed.contains(&Action::ReadVersionRecords), "{noticed:?}");
            assert_eq!(to_record(&front), None);
            // The new version had left before this front listed the endpoints again.
            let resumed = resumption(Some(FIRST_ATTEMPT));
            let actions = resume_after_read(&mut front, resumed, &["v1", "v2"]);
            assert_eq!(refused(&actions), Some(Reason::OriginUnknown), "{actions:?}");
            // What others tell of single streams holds.
            report_origin(&mut front, "v1", Duration::from_secs(3));
            let (_, actions) = arrive(&mut front, resumption(Some(FIRST_ATTEMPT)));
            assert!(sent(&actions).is_some(), "{actions:?}");
        }
    )*};
}

out_of_step! {
    front_that_hears_others_again_does_not_know_what_it_missed: |front, heartbeat| {
        front.wait(Duration::from_secs(2));
        front.handle(heartbeat)
    };
    front_that_was_suspended_does_not_know_what_it_missed: |front, _| {
        front.handle(Event::WasSuspended)
    };
}

/// Time for which a version stays recorded after its last endpoint has left: its streams can be resumed for [`HISTORY`], and
/// a front that is cut off may begin some for two minutes.
const RECORDED: Duration = Duration::from_secs(130);

/// Defines a test for each way in which the endpoints of a version leave the fleet.
macro_rules! versions_that_left {
    ($($name:ident: $left:expr,)*) => {$(
        /// Guards against streams that go on at a version which has just replaced theirs.
        #[test]
        fn $name() {
            let mut front = Front::new(engines(&["v1", "v1"]));
            let second = endpoint(2, "lm", Some(Role::Decode));
            front.handle(Event::EndpointUpserted(with_version(second.clone(), "v2")));
            front.wait(HISTORY);
            for event in $left(second) {
                front.handle(event);
            }
            for _ in 1..RECORDED.as_secs() {
                front.wait(Duration::from_secs(1));
                front.handle(Event::Tick);
            }
            assert_eq!(to_record(&front).expect("known versions"), ["v1", "v2"]);
            front.wait(HISTORY);
            assert_eq!(to_record(&front).expect("known versions"), ["v1"]);
        }
    )*};
}

versions_that_left! {
    version_that_was_removed_counts_for_a_while: |it: Endpoint| {
        [Event::EndpointRemoved { name: it.name, removal: Removal::Left }]
    },
    version_that_was_updated_counts_for_a_while: |it: Endpoint| {
        [Event::EndpointUpserted(with_version(it, "v1"))]
    },
    version_that_was_started_again_counts_for_a_while: |it: Endpoint| {
        [Event::EndpointUpserted(with_version(Endpoint { started_at: Some(7), ..it }, "v1"))]
    },
    version_removed_after_an_outage_counts_for_a_while: |it: Endpoint| {
        let removal = Removal::AfterOutage(Duration::from_secs(2));
        [Event::EndpointRemoved { name: it.name, removal }]
    },
}

/// Plays a read of the directory with these versions of the engines in its record.
fn record(front: &mut Front, versions: &[&str]) {
    read(front, &[("lm", versions)]);
}

/// Plays a read of the directory with these records, and the configuration that the front has.
fn read(front: &mut Front, records: &[(&str, &[&str])]) {
    let read = directory_read(front, records);
    front.handle(Event::DirectoryRead(read));
}

fn directory_read(front: &Front, records: &[(&str, &[&str])]) -> DirectoryRead {
    let recorded = |versions: &[&str]| {
        let versions = versions.iter().map(|it| Some(version(it))).collect();
        RecordedVersions { versions, is_complete: true }
    };
    let records = records.iter().map(|(name, versions)| (service(name), recorded(versions)));
    let configuration = front.dispatcher.table().map(|it| it.version());
    DirectoryRead { begun_at: front.now, records: records.collect(), configuration }
}

/// Returns the versions that the record of the engines should contain.
fn to_record(front: &Front) -> Option<Vec<String>> {
    let records = front.dispatcher.versions_to_record(front.now);
    let [(name, versions)] = &records[..] else { panic!("{records:?}") };
    assert_eq!(*name, service("lm"));
    let text = |it: &Option<SoftwareVersion>| it.as_ref().expect("a version").to_string();
    versions.as_ref().map(|it| it.iter().map(text).collect())
}

/// Guards against refusals of a front that has just started, where the directory's record rules other versions out.
#[test]
fn stream_of_unknown_version_goes_on_at_once_at_the_only_recorded_version() {
    let mut front = Front::new(engines(&["v1", "v1"]));
    let actions = resume_after_read(&mut front, resumption(Some(FIRST_ATTEMPT)), &["v1"]);
    assert!(sent(&actions).is_some(), "{actions:?}");
    let other = with_version(endpoint(2, "lm", Some(Role::Decode)), "v2");
    front.handle(Event::EndpointUpserted(other));
    front.wait(Duration::from_millis(1));
    let actions = resume(&mut front, resumption(None));
    assert_eq!(refused(&actions), Some(Reason::OriginUnknown), "{actions:?}");
}

/// Guards against streams that go on at the version which replaced theirs while no front ran.
#[test]
fn recorded_version_without_endpoints_counts_for_a_while() {
    let mut front = Front::new(engines(&["v1", "v1"]));
    record(&mut front, &["v1", "v2"]);
    front.wait(RECORDED - Duration::from_secs(1));
    assert_eq!(to_record(&front).expect("known versions"), ["v1", "v2"]);
    front.wait(Duration::from_secs(1));
    assert_eq!(to_record(&front).expect("known versions"), ["v1"]);
}

/// Guards against clients that come back later than two timeouts of the route, after all fronts were killed in a release, and
/// get the version that is left (ORDER).
#[test]
fn stream_that_is_resumed_late_does_not_go_on_at_the_version_that_is_left() {
    let mut front = Front::new(engines(&["v1", "v1"]));
    record(&mut front, &["v1", "v2"]);
    for waited in [HISTORY, HISTORY * 2, RECORDED - HISTORY * 3 - Duration::from_secs(1)] {
        front.wait(waited);
        let recorded = to_record(&front).expect("known versions");
        let recorded: Vec<&str> = recorded.iter().map(String::as_str).collect();
        let actions = resume_after_read(&mut front, resumption(Some(FIRST_ATTEMPT)), &recorded);
        assert_eq!(refused(&actions), Some(Reason::OriginUnknown), "{actions:?}");
    }
}

/// Guards against a front whose watch of the directory alone is late, while it hears the other fronts (ORDER).
#[test]
fn stream_of_a_version_that_the_watch_has_not_told_is_refused() {
    let mut front = Front::new(engines(&["v1", "v1"]));
    front.wait(HISTORY);
    record(&mut front, &["v1"]);
    for _ in 0..20 {
        front.wait(Duration::from_millis(200));
        front.handle(Event::PeerHeartbeat { peer: 1, loads: Vec::new(), parts: Vec::new() });
    }
    for first_attempt in [Some(FIRST_ATTEMPT), None] {
        let actions = resume(&mut front, resumption(first_attempt));
        assert_eq!(refused(&actions), Some(Reason::OriginUnknown), "{actions:?}");
        let actions = resume_after_read(&mut front, resumption(first_attempt), &["v1", "v2"]);
        assert_eq!(refused(&actions), Some(Reason::OriginUnknown), "{actions:?}");
    }
}

/// Guards against streams that go on at the only version of a record which was written before this front, or a copy of the
/// directory, could know of all.
#[test]
fn stream_of_unknown_version_is_refused_by_an_incomplete_record() {
    let mut front = Front::new(engines(&["v1", "v1"]));
    let (key, _) = arrive(&mut front, resumption(Some(FIRST_ATTEMPT)));
    let mut read = directory_read(&front, &[("lm", &["v1"])]);
    read.records.get_mut(&service("lm")).expect("a record").is_complete = false;
    front.handle(Event::DirectoryRead(read));
    let actions = front.handle(Event::NewsAwaited { key });
    assert_eq!(refused(&actions), Some(Reason::OriginUnknown), "{actions:?}");
}

/// Guards against a record that lacks versions which served before the front that writes it started.
#[test]
fn front_that_knows_a_service_for_a_moment_records_nothing() {
    let mut front = Front::new(engines(&["v1", "v1"]));
    front.wait(RECORDED - Duration::from_millis(1));
    assert_eq!(to_record(&front), None);
    front.wait(Duration::from_millis(1));
    assert_eq!(to_record(&front).expect("known versions"), ["v1"]);
}

/// Guards against streams of a version that no front knows which starts later, or which missed that it joined (ORDER).
#[test]
fn streams_begin_at_recorded_versions_only() {
    let mut front = Front::new(engines(&["v1", "v2"]));
    record(&mut front, &["v1"]);
    let begins_at = |front: &mut Front, number: u32| {
        let (key, version, _) = begin(front, request(&format!("id-{number}"), LONG));
        front.handle(Event::ClientDisconnected { key });
        version
    };
    assert!((0..20).all(|it| begins_at(&mut front, it) == version("v1")));
    front.wait(Duration::from_secs(6));
    assert!((0..20).all(|it| begins_at(&mut front, it) == version("v1")));
    let paused = front.dispatcher.fleet().key(&name("lm-1")).expect("a known engine");
    let pause = Duration::from_secs(1);
    front.handle(Event::PauseRequested { endpoint: paused, pause, spread: 0.0 });
    let actions = resume(&mut front, request("id-20", LONG));
    assert!(sent(&actions).is_none() && refused(&actions).is_some(), "{actions:?}");
    record(&mut front, &["v1", "v2"]);
    assert_eq!(begins_at(&mut front, 21), version("v2"));
    front.wait(pause);
    assert!((0..20).any(|it| begins_at(&mut front, it) == version("v2")));
}

/// Guards against refusals while the version of the only endpoints is being recorded, which takes milliseconds.
#[test]
fn stream_waits_until_its_version_is_recorded() {
    let mut front = Front::new(engines(&["v2"]));
    record(&mut front, &[]);
    let (key, actions) = arrive(&mut front, request("id", LONG));
    assert!(awaited(&actions).is_some(), "{actions:?}");
    let versions = [Some(version("v2"))].into();
    front.handle(Event::VersionsRecorded { service: service("lm"), versions });
    let actions = front.handle(Event::NewsAwaited { key });
    assert!(sent(&actions).is_some(), "{actions:?}");
}

/// Guards against streams that never begin where the directory keeps no records.
#[test]
fn streams_begin_anywhere_if_the_directory_takes_no_record() {
    let mut front = Front::new(engines(&["v2"]));
    read(&mut front, &[]);
    let (_, actions) = arrive(&mut front, request("id-1", LONG));
    assert!(awaited(&actions).is_some(), "{actions:?}");
    front.handle(Event::RecordRefused { service: service("lm") });
    let (_, actions) = arrive(&mut front, request("id-2", LONG));
    assert!(sent(&actions).is_some(), "{actions:?}");
    let actions = resume(&mut front, resumption(Some(FIRST_ATTEMPT)));
    assert_eq!(refused(&actions), Some(Reason::OriginUnknown), "{actions:?}");
}

/// Guards against new endpoints that stay idle at a front which the directory refuses, while others send them streams.
#[test]
fn version_at_which_another_front_saw_a_stream_begin_is_recorded() {
    let mut front = Front::new(engines(&["v2"]));
    record(&mut front, &["v1"]);
    report_origin(&mut front, "v2", Duration::from_secs(3));
    let (_, actions) = arrive(&mut front, request("id", LONG));
    assert!(sent(&actions).is_some(), "{actions:?}");
}

/// Guards against prompts that are prefilled for a stream which no engine may go on with.
#[test]
fn stream_whose_version_is_gone_is_refused_without_a_prefill() {
    let mut front = Front::new(engines(&["v2", "v2"]));
    report_origin(&mut front, "v1", Duration::from_secs(3));
    let (_, actions) = arrive(&mut front, resumption(Some(FIRST_ATTEMPT)));
    assert_eq!(refused(&actions), Some(Reason::VersionGone), "{actions:?}");
    assert!(sent(&actions).is_none());
}

#[test]
fn stream_whose_version_pauses_waits_for_the_pause_to_end() {
    let mut front = Front::new(engines(&["v1", "v2"]));
    report_origin(&mut front, "v1", Duration::from_secs(3));
    let paused = front.dispatcher.fleet().key(&name("lm-1")).expect("a known engine");
    let pause = Duration::from_secs(2);
    front.handle(Event::PauseRequested { endpoint: paused, pause, spread: 0.0 });
    let (_, actions) = arrive(&mut front, resumption(Some(FIRST_ATTEMPT)));
    assert_eq!(refused(&actions), Some(Reason::Paused), "{actions:?}");
}

#[test]
fn origin_that_no_client_waits_for_is_forgotten() {
    let mut front = Front::new(engines(&["v1", "v2"]));
    report_origin(&mut front, "v1", Duration::from_secs(3));
    front.wait(Duration::from_secs(3));
    front.handle(Event::Tick);
    let actions = resume(&mut front, resumption(Some(FIRST_ATTEMPT)));
    assert_eq!(refused(&actions), Some(Reason::OriginUnknown));
}

/// Returns a configuration whose streams of [`LONG`] go to these services, by weight.
fn weighted(version: u64, weights: [(&str, u32); 2]) -> Arc<RouteTable> {
    let backends = weights.map(|(name, weight)| Backend { service: service(name), weight });
    let backends = Backends::weighted(backends.into()).expect("weights");
    let stream = RequestKind::Stream { resumable: true };
    let split = Route { backends, ..route(LONG, stream, "lm", 600, 2) };
    let other = ServiceSpec { name: service("other"), ..services().swap_remove(0) };
    let services: Vec<_> = services().into_iter().chain([other]).collect();
    let table = RouteTable::new(version, vec![split], services, ClientLimits::default());
    Arc::new(table.expect("routes differ"))
}

/// Returns a front with two services of engines, each of one version.
fn front_of_two_services() -> Front {
    let others = (0..2).map(|it| with_version(endpoint(it, "other", Some(Role::Decode)), "v2"));
    Front::new(engines(&["v1", "v1"]).into_iter().chain(others))
}

/// Each case has the configurations under which a client comes back without news of its stream, and how it is refused.
macro_rules! services_of_a_stream {
    ($($name:ident: $configurations:expr, $first_attempt:expr, $wait:expr => $refused:expr;)*) => {$(
        /// Guards against streams that go on at another service of their route, which has another version (ORDER).
        #[test]
        fn $name() {
            let mut front = front_of_two_services();
            for (version, weights) in (2..).zip($configurations) {
                front.wait(RECORDED);
                front.handle(Event::Configured(weighted(version, weights)));
            }
            front.wait($wait);
            for id in 0..20 {
                let first_attempt = $first_attempt.map(|it: &str| format!("{it}-{id}").into());
                let resumption = Resumption { first_attempt };
                let resumed = request(&format!("resumed-{id}"), LONG).resumption(resumption);
                front.wait(Duration::from_millis(1));
                let (key, actions) = arrive(&mut front, resumed);
                assert!(awaited(&actions).is_some(), "{actions:?}");
                read(&mut front, &[("lm", &["v1"]), ("other", &["v2"])]);
                let actions = front.handle(Event::NewsAwaited { key });
                assert_eq!(refused(&actions), $refused, "{actions:?}");
            }
        }
    )*};
}

services_of_a_stream! {
    unnamed_stream_of_a_split_route_is_refused:
        [[("lm", 1), ("other", 1)]], None, RECORDED => Some(Reason::OriginUnknown);
    unnamed_stream_of_a_route_with_one_service_goes_on:
        [[("lm", 1), ("other", 0)]], None, RECORDED => None;
    named_stream_of_a_split_route_goes_on:
        [[("lm", 1), ("other", 1)]], Some("first"), RECORDED => None;
    stream_of_a_route_that_has_just_moved_is_refused:
        [[("lm", 1), ("other", 0)], [("lm", 0), ("other", 1)]], Some("first"), HISTORY / 2
        => Some(Reason::OriginUnknown);
    stream_of_a_route_whose_weights_have_just_changed_is_refused:
        [[("lm", 1), ("other", 1)], [("lm", 1), ("other", 3)]], Some("first"), HISTORY / 2
        => Some(Reason::OriginUnknown);
    stream_of_a_route_that_a_cut_off_front_may_not_know_to_have_moved_is_refused:
        [[("lm", 1), ("other", 0)], [("lm", 0), ("other", 1)]], Some("first"), HISTORY * 2
        => Some(Reason::OriginUnknown);
    stream_of_a_route_that_moved_a_while_ago_goes_on:
        [[("lm", 1), ("other", 0)], [("lm", 0), ("other", 1)]], Some("first"), RECORDED => None;
    stream_of_a_route_that_has_not_moved_goes_on:
        [[("lm", 1), ("other", 0)], [("lm", 1), ("other", 0)]], None, HISTORY / 2 => None;
}

/// Guards against a stream that goes on at another service of its route, as its attempts have different ids.
#[test]
fn stream_of_a_split_route_goes_on_at_the_service_that_began_it() {
    let others = (0..2).map(|it| with_version(endpoint(it, "other", Some(Role::Decode)), "v1"));
    let mut front = Front::new(engines(&["v1", "v1"]).into_iter().chain(others));
    front.handle(Event::Configured(weighted(2, [("lm", 1), ("other", 1)])));
    front.wait(RECORDED);
    let service_of = |front: &mut Front, request| {
        front.wait(Duration::from_millis(1));
        let (key, mut actions) = arrive(front, request);
        if awaited(&actions).is_some() {
            read(front, &[("lm", &["v1"]), ("other", &["v1"])]);
            actions = front.handle(Event::NewsAwaited { key });
        }
        let name = sent(&actions).expect("a send attempt").name.to_string();
        front.handle(Event::ClientDisconnected { key });
        name.starts_with("lm")
    };
    for number in 0..40 {
        let first = format!("first-{number}");
        let begun = service_of(&mut front, request(&first, LONG));
        let resumption = Resumption { first_attempt: Some(first.into()) };
        let resumed = request(&format!("resumed-{number}"), LONG).resumption(resumption);
        assert_eq!(service_of(&mut front, resumed), begun);
    }
}

/// Guards against refusals for a late first event, which a client that resumes its stream has already.
#[test]
fn resumed_stream_is_not_refused_for_the_latency_objective() {
    let mut front = Front::new(engines(&["v1", "v2"]));
    report_origin(&mut front, "v1", Duration::from_secs(5));
    let long_prompt = |id: &str| {
        let parts = vec![PromptPart { key: 1, tokens: 20_000 }];
        let prompt = Prompt { parts, tokens: 20_000, max_output: 50 };
        request(id, LONG).prompt(prompt)
    };
    // Requests are sent until the wait at both engines exceeds the objective.
    let is_refused = |number: &u32| {
        let (_, actions) = arrive(&mut front, long_prompt(&format!("id-{number}")));
        refused(&actions) == Some(Reason::Overload)
    };
    let admitted = (0..200).find(is_refused).expect("an overload");
    let resumption = Resumption { first_attempt: Some(FIRST_ATTEMPT.into()) };
    let (_, actions) = arrive(&mut front, long_prompt("resumed").resumption(resumption));
    assert!(sent(&actions).is_some(), "after {admitted} requests: {actions:?}");
}

/// What a front has heard of the others when the client comes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Heard {
    Never,
    LongAgo,
    Lately,
}

/// Which read of the directory it has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Read {
    Never,
    BeforeTheRequest,
    BegunBeforeTheRequest,
    AfterTheRequest,
}

/// What it was told of the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    Nothing,
    Seen,
    Disputed,
}

/// Guards against a conclusion from anything but a read of the directory that began after the request arrived, or what a front
/// saw (ORDER). The front lists v1 alone; the stream began at v2, which has joined without its knowledge.
#[test]
fn stream_of_a_version_that_joined_unnoticed_goes_nowhere_else() {
    for heard in [Heard::Never, Heard::LongAgo, Heard::Lately] {
        for read in [
            Read::Never,
            Read::BeforeTheRequest,
            Read::BegunBeforeTheRequest,
            Read::AfterTheRequest,
        ] {
            for told in [Told::Nothing, Told::Seen, Told::Disputed] {
                let actions = resume_out_of_step(heard, read, told);
                let reason = refused(&actions).unwrap_or_else(|| {
                    panic!("{heard:?}, {read:?}, {told:?}: {actions:?}");
                });
                let expected = match told {
                    Told::Seen => Reason::VersionGone,
                    Told::Nothing | Told::Disputed => Reason::OriginUnknown,
                };
                assert_eq!(reason, expected, "{heard:?}, {read:?}, {told:?}");
            }
        }
    }
}

fn resume_out_of_step(heard: Heard, when: Read, told: Told) -> Vec<Action> {
    let mut front = Front::new(engines(&["v1", "v1"]));
    front.handle(Event::FrontsCounted(FrontPosition::new(3, 0)));
    front.wait(HISTORY);
    let heartbeat = Event::PeerHeartbeat { peer: 1, loads: Vec::new(), parts: Vec::new() };
    if heard == Heard::LongAgo {
        front.handle(heartbeat.clone());
        front.wait(Duration::from_secs(5));
    }
    if when == Read::BeforeTheRequest {
        record(&mut front, &["v1"]);
        front.wait(Duration::from_millis(1));
    }
    let early = directory_read(&front, &[("lm", &["v1"])]);
    front.wait(Duration::from_millis(20));
    if heard == Heard::Lately {
        front.handle(heartbeat);
    }
    match told {
        Told::Nothing => {}
        Told::Seen => report_origin(&mut front, "v2", Duration::from_secs(3)),
        Told::Disputed => {
            report_origin(&mut front, "v2", Duration::from_secs(3));
            report_origin(&mut front, "v1", Duration::from_secs(3));
        }
    }
    let (key, mut actions) = arrive(&mut front, resumption(Some(FIRST_ATTEMPT)));
    match when {
        Read::BegunBeforeTheRequest => {
            front.handle(Event::DirectoryRead(early));
        }
        Read::AfterTheRequest => record(&mut front, &["v1", "v2"]),
        Read::Never | Read::BeforeTheRequest => {}
    }
    while let Some(until) = awaited(&actions) {
        actions = front.handle(Event::NewsAwaited { key });
        if awaited(&actions).is_some() {
            front.now = until;
        }
    }
    actions
}

/// Guards against an origin that was concluded, and that other fronts take for one that was seen (ORDER).
#[test]
fn concluded_origin_is_not_told() {
    let mut front = Front::new(engines(&["v1", "v1"]));
    let (key, _) = arrive(&mut front, resumption(Some(FIRST_ATTEMPT)));
    record(&mut front, &["v1"]);
    let actions = front.handle(Event::NewsAwaited { key });
    assert!(sent(&actions).is_some(), "{actions:?}");
    front.handle(Event::ResponseStarted { key });
    assert!(announced(&front.handle(Event::FirstOutput { key })).is_empty());
    let attempt = StreamOrigin::attempt(FIRST_ATTEMPT);
    assert_eq!(front.dispatcher.stream_origin(front.now, attempt), None);
}

/// Guards against an origin that was seen and is replaced by another one, which a front has concluded (ORDER).
#[test]
fn origins_that_contradict_each_other_count_for_nothing() {
    let mut front = Front::new(engines(&["v1", "v2"]));
    report_origin(&mut front, "v2", Duration::from_secs(3));
    report_origin(&mut front, "v1", Duration::from_secs(3));
    let actions = resume(&mut front, resumption(Some(FIRST_ATTEMPT)));
    assert_eq!(refused(&actions), Some(Reason::OriginUnknown), "{actions:?}");
}

/// Guards against refusals where another front, which is asked, saw where the stream began.
#[test]
fn stream_goes_on_once_another_front_has_told_its_origin() {
    let mut front = Front::uncounted(engines(&["v1", "v2"]));
    let (key, actions) = arrive(&mut front, resumption(Some(FIRST_ATTEMPT)));
    let asked = StreamOrigin::attempt(FIRST_ATTEMPT);
    let asks =
        |it: &Action| matches!(it, Action::AwaitNews { attempt: Some(it), .. } if *it == asked);
    assert!(actions.iter().any(asks), "{actions:?}");
    record(&mut front, &["v1", "v2"]);
    let actions = front.handle(Event::NewsAwaited { key });
    assert!(awaited(&actions).is_some(), "{actions:?}");
    report_origin(&mut front, "v2", Duration::from_secs(3));
    let actions = front.handle(Event::NewsAwaited { key });
    let decision = sent(&actions).expect("a send attempt");
    assert_eq!(decision.software_version, Some(version("v2")));
}

/// Guards against clients that wait for an answer of the other fronts beyond the time in which it arrives.
#[test]
fn stream_of_unknown_version_is_refused_within_half_a_second() {
    let mut front = Front::uncounted(engines(&["v1", "v2"]));
    let arrived = front.now;
    let actions = resume(&mut front, resumption(Some(FIRST_ATTEMPT)));
    assert_eq!(refused(&actions), Some(Reason::OriginUnknown), "{actions:?}");
    assert!(front.now.since(arrived) <= Duration::from_millis(500));
}

/// Guards against a stream of one service that goes on at another, whose version bears the same name (ORDER).
#[test]
fn stream_of_a_service_that_its_route_has_left_is_refused() {
    let others = (0..2).map(|it| with_version(endpoint(it, "other", Some(Role::Decode)), "v1"));
    let mut front = Front::new(engines(&["v1", "v1"]).into_iter().chain(others));
    front.handle(Event::Configured(weighted(2, [("lm", 1), ("other", 0)])));
    front.wait(HISTORY);
    report_origin(&mut front, "v1", Duration::from_secs(3));
    front.handle(Event::Configured(weighted(3, [("lm", 0), ("other", 1)])));
    let (_, actions) = arrive(&mut front, resumption(Some(FIRST_ATTEMPT)));
    assert_eq!(refused(&actions), Some(Reason::VersionGone), "{actions:?}");
}

/// Each case has what a front, which knows that its route goes to `lm`, lacks of the configuration. The stream began at `other`.
macro_rules! unknown_moves {
    ($($name:ident: $missed:expr;)*) => {$(
        /// Guards against streams that go on at the service of a route of which the front doesn't know that it has moved (ORDER).
        #[test]
        fn $name() {
            let mut front = front_of_two_services();
            front.handle(Event::Configured(weighted(2, [("lm", 1), ("other", 0)])));
            let missed: fn(&mut Front) -> Option<u64> = $missed;
            let configuration = missed(&mut front);
            let (key, _) = arrive(&mut front, resumption(Some(FIRST_ATTEMPT)));
            let mut read = directory_read(&front, &[("lm", &["v1"]), ("other", &["v2"])]);
            read.configuration = configuration;
            front.handle(Event::DirectoryRead(read));
            let actions = front.handle(Event::NewsAwaited { key });
            assert_eq!(refused(&actions), Some(Reason::OriginUnknown), "{actions:?}");
        }
    )*};
}

unknown_moves! {
    stream_is_refused_if_there_is_a_later_configuration: |front| {
        front.wait(RECORDED);
        Some(3)
    };
    stream_is_refused_if_the_newest_configuration_is_not_known: |front| {
        front.wait(RECORDED);
        None
    };
    stream_is_refused_by_a_front_that_knows_the_configuration_for_a_moment: |front| {
        front.wait(HISTORY * 2);
        Some(2)
    };
    stream_is_refused_after_configurations_were_missed: |front| {
        front.wait(RECORDED);
        front.handle(Event::ConfigurationsMissed);
        front.handle(Event::Configured(weighted(5, [("lm", 1), ("other", 0)])));
        front.wait(HISTORY * 2);
        Some(5)
    };
}

/// Guards against a record that loses a version which came back, began streams and left while this front missed it (ORDER).
#[test]
fn version_that_came_back_unnoticed_stays_recorded() {
    let mut front = Front::new(engines(&["v1", "v1"]));
    record(&mut front, &["v1"]);
    let second = with_version(endpoint(2, "lm", Some(Role::Decode)), "v2");
    front.handle(Event::EndpointUpserted(second.clone()));
    front.wait(Duration::from_secs(1));
    front.handle(Event::EndpointRemoved { name: second.name, removal: Removal::Left });
    front.wait(RECORDED);
    assert_eq!(to_record(&front).expect("known versions"), ["v1"]);
    record(&mut front, &["v1"]);
    front.wait(Duration::from_secs(30));
    record(&mut front, &["v1", "v2"]);
    assert_eq!(to_record(&front).expect("known versions"), ["v1", "v2"]);
}

/// The same for one that stayed recorded all the while, and that may have come back where this front missed changes.
#[test]
fn version_that_may_have_come_back_in_a_gap_stays_recorded() {
    let mut front = Front::new(engines(&["v1", "v1"]));
    record(&mut front, &["v1", "v2"]);
    front.wait(RECORDED - Duration::from_secs(1));
    front.handle(Event::EndpointsMissed);
    assert_eq!(to_record(&front), None);
    record(&mut front, &["v1", "v2"]);
    front.wait(HISTORY);
    assert_eq!(to_record(&front).expect("known versions"), ["v1", "v2"]);
}

/// Guards against streams that begin at a version which another front has dropped from the record since this one read it
/// (ORDER).
#[test]
fn streams_begin_at_a_version_that_comes_back_only_after_another_read() {
    let mut front = Front::new(engines(&["v1", "v1"]));
    record(&mut front, &["v1", "v2"]);
    front.wait(Duration::from_secs(100));
    let second = with_version(endpoint(3, "lm", Some(Role::Decode)), "v2");
    front.handle(Event::EndpointUpserted(second));
    assert!(front.dispatcher.awaits_records());
    for id in 0..20 {
        let (key, begun_at, _) = begin(&mut front, request(&format!("id-{id}"), LONG));
        front.handle(Event::ClientDisconnected { key });
        assert_eq!(begun_at, version("v1"), "without a read since v2 came back");
    }
    record(&mut front, &["v1", "v2"]);
    assert!(!front.dispatcher.awaits_records());
}

/// Guards against a front that takes up a stream at the only recorded version while it knows another one (ORDER).
#[test]
fn front_that_knows_a_version_which_is_not_recorded_concludes_nothing() {
    let told = |front: &mut Front| {
        let attempt = StreamOrigin::attempt("another");
        let time_left = Duration::from_secs(3);
        let version = Some(version("v2"));
        let origin = StreamOrigin { attempt, service: Some(service("lm")), version, time_left };
        front.handle(Event::OriginsReported { origins: vec![origin] });
    };
    let mut listed = Front::new(engines(&["v1", "v2"]));
    let actions = resume_after_read(&mut listed, resumption(Some(FIRST_ATTEMPT)), &["v1"]);
    assert_eq!(refused(&actions), Some(Reason::OriginUnknown), "{actions:?}");
    let mut front = Front::new(engines(&["v1", "v1"]));
    told(&mut front);
    let actions = resume_after_read(&mut front, resumption(Some(FIRST_ATTEMPT)), &["v1"]);
    assert_eq!(refused(&actions), Some(Reason::OriginUnknown), "{actions:?}");
}

/// Guards against streams of a front which starts while the directory is away, at versions that nobody has recorded (ORDER).
#[test]
fn streams_begin_nowhere_before_the_versions_are_known_to_be_recorded() {
    let mut front = Front::new(engines(&["v1", "v2"]));
    front.dispatcher = front.dispatcher.clone().with_version_records();
    let actions = resume(&mut front, request("id-1", LONG));
    assert!(sent(&actions).is_none() && refused(&actions).is_some(), "{actions:?}");
    let (_, actions) = arrive(&mut front, request("id-2", SHORT));
    assert!(sent(&actions).is_some(), "streams that can't be resumed: {actions:?}");
    let versions = [Some(version("v1"))].into();
    front.handle(Event::VersionsAllowed { service: service("lm"), versions });
    for id in 3..20 {
        let (key, begun_at, _) = begin(&mut front, request(&format!("id-{id}"), LONG));
        front.handle(Event::ClientDisconnected { key });
        assert_eq!(begun_at, version("v1"));
    }
}

/// Guards against a stream that a front with an old configuration began, and that goes on at the new service (ORDER).
#[test]
fn stream_that_a_front_with_an_old_configuration_began_goes_nowhere_else() {
    let (mut late, mut other) = (front_of_two_services(), front_of_two_services());
    for front in [&mut late, &mut other] {
        read(front, &[("lm", &["v1"]), ("other", &["v2"])]);
        front.handle(Event::Configured(weighted(2, [("lm", 1), ("other", 0)])));
        front.wait(RECORDED);
    }
    other.handle(Event::Configured(weighted(3, [("lm", 0), ("other", 1)])));
    for front in [&mut late, &mut other] {
        front.wait(HISTORY + Duration::from_secs(1));
    }
    let (_, begun_at, _) = begin(&mut late, request(FIRST_ATTEMPT, LONG));
    assert_eq!(begun_at, version("v1"));
    let (key, _) = arrive(&mut other, resumption(Some(FIRST_ATTEMPT)));
    read(&mut other, &[("lm", &["v1"]), ("other", &["v2"])]);
    let actions = other.handle(Event::NewsAwaited { key });
    assert_eq!(refused(&actions), Some(Reason::OriginUnknown), "{actions:?}");
}

/// Guards against a route that is removed and added again at another service, and isn't taken for one that moved (ORDER).
#[test]
fn stream_of_a_route_that_was_removed_and_added_elsewhere_is_refused() {
    let mut front = front_of_two_services();
    front.handle(Event::Configured(weighted(2, [("lm", 1), ("other", 0)])));
    front.wait(RECORDED);
    let without = RouteTable::new(3, vec![], services(), ClientLimits::default());
    front.handle(Event::Configured(Arc::new(without.expect("a table"))));
    front.wait(Duration::from_millis(500));
    front.handle(Event::Configured(weighted(4, [("lm", 0), ("other", 1)])));
    front.wait(Duration::from_millis(500));
    let (key, _) = arrive(&mut front, resumption(Some(FIRST_ATTEMPT)));
    read(&mut front, &[("lm", &["v1"]), ("other", &["v2"])]);
    let actions = front.handle(Event::NewsAwaited { key });
    assert_eq!(refused(&actions), Some(Reason::OriginUnknown), "{actions:?}");
}

/// Guards against a move that is forgotten by the route's present timeout, which is shorter than that of its streams (ORDER).
#[test]
fn stream_of_a_longer_timeout_is_refused_after_a_move() {
    let table = |version: u64, weights, timeout| {
        let table = weighted(version, weights);
        let routes: Vec<_> = table.routes().map(|it| Route { timeout, ..it.clone() }).collect();
        let services: Vec<_> = table.services().cloned().collect();
        let table = RouteTable::new(version, routes, services, ClientLimits::default());
        Arc::new(table.expect("routes differ"))
    };
    let mut front = front_of_two_services();
    let long = Duration::from_secs(200);
    front.handle(Event::Configured(table(2, [("lm", 1), ("other", 0)], long)));
    front.wait(long * 3);
    front.handle(Event::Configured(table(3, [("lm", 0), ("other", 1)], Duration::from_secs(2))));
    front.wait(long);
    let (key, _) = arrive(&mut front, resumption(Some(FIRST_ATTEMPT)));
    read(&mut front, &[("lm", &["v1"]), ("other", &["v2"])]);
    let actions = front.handle(Event::NewsAwaited { key });
    assert_eq!(refused(&actions), Some(Reason::OriginUnknown), "{actions:?}");
}

/// Guards against clients that wait for a read which is never made: the directory has no records for such streams.
#[test]
fn resumption_on_a_route_that_is_not_resumable_is_refused_at_once() {
    let plain = route(LONG, RequestKind::Stream { resumable: false }, "lm", 600, 2);
    let table = RouteTable::new(2, vec![plain], services(), ClientLimits::default());
    let mut front = Front::new(engines(&["v1", "v1"]));
    front.handle(Event::Configured(Arc::new(table.expect("a table"))));
    let (_, actions) = arrive(&mut front, resumption(Some(FIRST_ATTEMPT)));
    assert_eq!(refused(&actions), Some(Reason::OriginUnknown), "{actions:?}");
}
