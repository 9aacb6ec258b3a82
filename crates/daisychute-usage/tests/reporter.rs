//! The holder's decisions, one at a time: what is written, sent, passed over, and when nothing is done.

use std::collections::BTreeMap;
use std::time::Duration;

use daisychute_core::{TenantName, Term, Time};
use daisychute_usage::{
    CallOutcome, ReportState, ReporterAction, ReporterEvent, StateStamp, StateUnavailable,
    StateVersion, StateWrite, UnixTime, UsageReport, UsageReporter, UsageSettings, UsageShare,
    WindowId,
};

/// Start of window 1,000 of five seconds.
const START_MS: u64 = 5_000_000;
/// Time of the reporters at the start of window 1,000.
const UPTIME_MS: u64 = 1_000;
const SOURCE: u64 = 1;

fn window(number: u64) -> WindowId {
    WindowId::new(number)
}

/// Stands for the serial of any state. One that is read counts as the latest, unless the reporter wrote it.
const ANY: u64 = 0;
const LATEST: u64 = 1_000_000;

fn counts(count: u64) -> BTreeMap<TenantName, u64> {
    BTreeMap::from([(TenantName::try_from("acme").expect("a valid name"), count)])
}

fn report(number: u64, count: u64) -> UsageReport {
    UsageReport { window: window(number), counts: counts(count) }
}

fn state(term: u64, last_frozen: u64, reports: &[UsageReport]) -> ReportState {
    let last_frozen = Some(window(last_frozen));
    ReportState { term: Term::new(term), serial: ANY, last_frozen, reports: reports.to_vec() }
}

fn version(number: u64) -> StateVersion {
    StateVersion::from(number.to_string().as_str())
}

fn held(term: u64, until_ms: u64) -> ReporterEvent {
    ReporterEvent::Held { term: Term::new(term), until: Time::from_millis(UPTIME_MS + until_ms) }
}

fn share(number: u64, count: u64, from_start: bool) -> ReporterEvent {
    ReporterEvent::ShareReceived(UsageShare {
        source: SOURCE,
        window: window(number),
        counts: counts(count),
        total: count,
        from_start,
        complete: true,
    })
}

fn found(state: ReportState, number: u64) -> ReporterEvent {
    ReporterEvent::StateRead(Ok(Some((state, version(number)))))
}

fn told(term: u64, number: u64) -> ReporterEvent {
    told_stamp(term, ANY, number)
}

fn told_stamp(term: u64, serial: u64, number: u64) -> ReporterEvent {
    let stamp = StateStamp { term: Term::new(term), serial };
    ReporterEvent::ReportedByPeer { stamp, window: window(number) }
}

fn done(number: u64) -> ReporterEvent {
    ReporterEvent::StateWritten(StateWrite::Done(version(number)))
}

fn ended(number: u64, outcome: CallOutcome) -> ReporterEvent {
    ReporterEvent::ReportEnded { window: window(number), outcome }
}

fn writes(state: ReportState, replaces: u64) -> ReporterAction {
    ReporterAction::WriteState { state, replaces: Some(version(replaces)) }
}

fn sends(term: u64, report: UsageReport) -> ReporterAction {
    ReporterAction::SendReport { term: Term::new(term), report }
}

/// A reporter, and the time since the start of window 1,000.
struct Holder {
    reporter: UsageReporter,
    now_ms: u64,
    /// The last state that the reporter wrote.
    written: Option<ReportState>,
}

impl Holder {
    /// Started a second before window 1,000.
    fn new() -> Self {
        let mut holder = Self::just_started();
        let before = UnixTime::from_millis(START_MS - UPTIME_MS);
        holder.reporter.handle(Time::ZERO, before, ReporterEvent::Tick, &mut Vec::new());
        holder
    }

    fn just_started() -> Self {
        Self { reporter: UsageReporter::new(UsageSettings::default()), now_ms: 0, written: None }
    }

    /// Holds term 5 from the start of window 1,000, with the state of an earlier holder up to window 999. Its only
    /// source counted window 1,000, which has ended.
    fn with_due_window() -> Self {
        let mut holder = Self::new();
        assert_eq!(holder.handle(held(5, 60_000)), [ReporterAction::ReadState]);
        let adopted = state(5, 999, &[]);
        assert_eq!(holder.handle(found(state(4, 999, &[]), 1)), [writes(adopted, 1)]);
        assert_eq!(holder.handle(done(2)), []);
        assert_eq!(holder.handle(ReporterEvent::SourcesSeen(vec![SOURCE])), []);
        assert_eq!(holder.handle(share(1_000, 3, true)), []);
        holder.now_ms = 6_500;
        holder
    }

    /// The same, with window 1,000 frozen.
    fn with_frozen_window() -> Self {
        let mut holder = Self::with_due_window();
        assert_eq!(holder.tick(), [writes(state(5, 1_000, &[report(1_000, 3)]), 2)]);
        assert_eq!(holder.handle(done(3)), []);
        holder
    }

    fn handle(&mut self, event: ReporterEvent) -> Vec<ReporterAction> {
        let mut out = Vec::new();
        let now = Time::from_millis(UPTIME_MS + self.now_ms);
        let true_time = UnixTime::from_millis(START_MS + self.now_ms);
        self.reporter.handle(now, true_time, self.with_serial(event), &mut out);
        out.iter_mut().for_each(|it| self.hide_serial(it));
        out
    }

    /// Gives a state that is read the serial with which the reporter wrote it, or the latest one.
    fn with_serial(&self, event: ReporterEvent) -> ReporterEvent {
        let ReporterEvent::StateRead(Ok(Some((state, version)))) = event else { return event };
        if state.serial != ANY {
            return ReporterEvent::StateRead(Ok(Some((state, version))));
        }
        let is_written = |it: &&ReportState| ReportState { serial: ANY, ..(*it).clone() } == state;
        let serial = self.written.as_ref().filter(is_written).map_or(LATEST, |it| it.serial);
        ReporterEvent::StateRead(Ok(Some((ReportState { serial, ..state }, version))))
    }

    /// Checks that each other state of a term has a higher serial, and replaces it by `ANY`.
    fn hide_serial(&mut self, action: &mut ReporterAction) {
        let ReporterAction::WriteState { state, .. } = action else { return };
        if let Some(written) = self.written.replace(state.clone()) {
            assert!(written == *state || written.stamp() < state.stamp(), "{written:?}, {state:?}");
        }
        state.serial = ANY;
    }

    fn tick(&mut self) -> Vec<ReporterAction> {
        self.handle(ReporterEvent::Tick)
    }

    fn tick_after(&mut self, ms: u64) -> Vec<ReporterAction> {
        self.now_ms += ms;
        self.tick()
    }
}

/// Each case starts with the frozen window 1,000 of three requests, and lists events with what they lead to.
macro_rules! steps {
    ($($name:ident: $holder:expr, [$($ms:expr, $event:expr => [$($action:expr),*];)*])*) => {$(
        #[test]
        fn $name() {
            let mut holder = $holder;
            $(
                holder.now_ms += $ms;
                assert_eq!(holder.handle($event), [$($action),*] as [ReporterAction; _], "after {} ms", holder.now_ms);
            )*
        }
    )*};
}

const TICK: ReporterEvent = ReporterEvent::Tick;
const UNREADABLE: ReporterEvent = ReporterEvent::StateRead(Err(StateUnavailable));
const AMBIGUOUS: ReporterEvent = ReporterEvent::StateWritten(StateWrite::Unknown);
const CONFLICT: ReporterEvent = ReporterEvent::StateWritten(StateWrite::Conflict);
const FAILED: ReporterEvent = ReporterEvent::StateWritten(StateWrite::Failed);

fn frozen() -> ReportState {
    state(5, 1_000, &[report(1_000, 3)])
}

fn reported(number: u64, requests: u64) -> ReporterAction {
    ReporterAction::Reported { window: window(number), requests }
}

steps! {
    report_follows_the_write_and_the_announcement: Holder::with_frozen_window(), [
        299, TICK => [];
        1, TICK => [sends(5, report(1_000, 3))];
        10, TICK => [];
        10, ended(1_000, CallOutcome::Accepted) => [reported(1_000, 3)];
        1_000, TICK => [];
    ]
    later_share_does_not_change_a_frozen_report: Holder::with_frozen_window(), [
        0, share(1_000, 4, true) => [];
        300, TICK => [sends(5, report(1_000, 3))];
        100, ended(1_000, CallOutcome::Unknown) => [];
        500, TICK => [sends(5, report(1_000, 3))];
        100, ended(1_000, CallOutcome::Rejected) => [];
        500, TICK => [sends(5, report(1_000, 3))];
    ]
    higher_token_at_the_api_ends_the_duty: Holder::with_frozen_window(), [
        300, TICK => [sends(5, report(1_000, 3))];
        100, ended(1_000, CallOutcome::Superseded) => [ReporterAction::GiveUp];
        1_000, TICK => [];
        0, held(5, 60_000) => [];
        0, held(7, 60_000) => [ReporterAction::ReadState];
    ]
    nothing_is_sent_so_late_that_the_lease_may_end_before_the_call: Holder::with_frozen_window(), [
        0, held(5, 8_300) => [];
        300, TICK => [];
        1, held(5, 9_000) => [sends(5, report(1_000, 3))];
    ]
    nothing_is_done_after_the_lease_ran_out: Holder::with_due_window(), [
        0, held(5, 6_500) => [];
        5_000, TICK => [];
    ]
    nothing_is_sent_after_the_lease_is_lost: Holder::with_frozen_window(), [
        0, ReporterEvent::Lost => [];
        1_000, TICK => [];
    ]
    frozen_report_is_taken_over_from_the_predecessor: Holder::new(), [
        0, told(4, 1_000) => [];
        6_500, held(5, 60_000) => [ReporterAction::ReadState];
        0, found(state(4, 1_000, &[report(1_000, 8)]), 1) => [writes(state(5, 1_000, &[report(1_000, 8)]), 1)];
        0, share(1_000, 3, true) => [];
        0, done(2) => [sends(5, report(1_000, 8))];
    ]
    state_of_a_later_holder_ends_the_duty: Holder::new(), [
        0, held(5, 60_000) => [ReporterAction::ReadState];
        0, found(state(6, 1_000, &[]), 1) => [ReporterAction::GiveUp];
    ]
    window_that_a_peer_reported_is_not_frozen: Holder::with_due_window(), [
        0, told(6, 1_000) => [];
        10_000, TICK => [writes(state(5, 1_001, &[]), 2)];
    ]
    window_that_a_peer_reported_during_the_write_is_not_sent: Holder::with_due_window(), [
        0, TICK => [writes(frozen(), 2)];
        0, told(6, 1_000) => [];
        0, done(3) => [];
        400, TICK => [];
    ]
    word_of_a_window_far_in_the_future_is_ignored: Holder::with_due_window(), [
        0, told(6, 9_000_000) => [writes(frozen(), 2)];
    ]
    ambiguous_write_that_took_effect_is_sent_after_it_was_read_back: Holder::with_due_window(), [
        0, TICK => [writes(frozen(), 2)];
        0, AMBIGUOUS => [];
        500, share(1_000, 9, true) => [ReporterAction::ReadState];
        0, found(frozen(), 3) => [];
        300, TICK => [sends(5, report(1_000, 3))];
    ]
    ambiguous_write_without_effect_is_repeated_with_the_same_counts: Holder::with_due_window(), [
        0, TICK => [writes(frozen(), 2)];
        0, AMBIGUOUS => [];
        0, share(1_000, 9, true) => [];
        500, TICK => [ReporterAction::ReadState];
        0, UNREADABLE => [];
        500, TICK => [ReporterAction::ReadState];
        0, found(state(5, 999, &[]), 2) => [writes(frozen(), 2)];
        0, done(3) => [];
        300, TICK => [sends(5, report(1_000, 3))];
    ]
    write_that_failed_is_made_anew: Holder::with_due_window(), [
        0, TICK => [writes(frozen(), 2)];
        0, FAILED => [];
        500, TICK => [writes(frozen(), 2)];
    ]
    store_that_went_back_gets_the_frozen_reports_again: Holder::with_frozen_window(), [
        300, TICK => [sends(5, report(1_000, 3))];
        10_000, ended(1_000, CallOutcome::Unknown) => [writes(state(5, 1_001, &[report(1_000, 3)]), 3)];
        0, CONFLICT => [ReporterAction::ReadState];
        0, found(state(4, 998, &[]), 0) => [writes(frozen(), 0)];
        0, done(4) => [writes(state(5, 1_001, &[report(1_000, 3)]), 4)];
    ]
    // A write of the last holder whose response was lost takes effect after the store went back: its counts are those of
    // an earlier attempt, not those that the holder froze and sent in the end.
    late_state_of_the_last_holder_is_not_sent: Holder::new(), [
        0, told_stamp(5, 7, 1_000) => [];
        0, held(7, 60_000) => [ReporterAction::ReadState];
        0, found(ReportState { serial: 6, ..frozen() }, 3) => [writes(state(7, 1_000, &[]), 3)];
    ]
    latest_state_of_the_last_holder_is_sent_again: Holder::new(), [
        0, told_stamp(5, 7, 1_000) => [];
        0, held(7, 60_000) => [ReporterAction::ReadState];
        0, found(ReportState { serial: 7, ..frozen() }, 3) => [writes(state(7, 1_000, &[report(1_000, 3)]), 3)];
    ]
    successor_after_the_store_went_back_reports_nothing_that_was_reported: Holder::new(), [
        0, told(6, 1_000) => [];
        0, held(7, 60_000) => [ReporterAction::ReadState];
        // A late write of term 5 took effect after the store went back: its counts are not those that term 6 sent.
        0, found(state(5, 1_000, &[report(999, 1), report(1_000, 8)]), 1) => [writes(state(7, 1_000, &[]), 1)];
        0, done(2) => [];
        5_000, TICK => [];
    ]
    // The store went back before the front started. Taken over at once, the earlier counts would be in the latest state.
    front_that_just_started_hears_its_peers_before_it_takes_a_state_over: Holder::just_started(), [
        0, held(7, 60_000) => [];
        300, told_stamp(6, 2, 1_000) => [];
        699, TICK => [];
        1, TICK => [ReporterAction::ReadState];
        0, found(state(5, 1_000, &[report(1_000, 8)]), 1) => [writes(state(7, 1_000, &[]), 1)];
    ]
    result_of_an_earlier_tenure_is_not_taken_for_the_present_one: Holder::with_due_window(), [
        0, TICK => [writes(frozen(), 2)];
        0, ReporterEvent::Lost => [];
        0, held(7, 60_000) => [];
        0, done(3) => [ReporterAction::ReadState];
        0, found(state(6, 1_000, &[report(1_000, 8)]), 4) => [writes(state(7, 1_000, &[report(1_000, 8)]), 4)];
    ]
    call_of_an_earlier_tenure_holds_back_the_next: Holder::with_frozen_window(), [
        300, TICK => [sends(5, report(1_000, 3))];
        0, ReporterEvent::Lost => [];
        0, held(7, 60_000) => [ReporterAction::ReadState];
        0, found(frozen(), 3) => [writes(state(7, 1_000, &[report(1_000, 3)]), 3)];
        0, done(4) => [];
        0, ended(1_000, CallOutcome::Superseded) => [];
        500, TICK => [sends(7, report(1_000, 3))];
    ]
    first_holder_of_a_deployment_creates_the_state: Holder::new(), [
        0, share(1_000, 3, false) => [];
        0, held(1, 60_000) => [ReporterAction::ReadState];
        0, ReporterEvent::StateRead(Ok(None)) => [ReporterAction::WriteState {
            state: ReportState { term: Term::new(1), serial: ANY, last_frozen: None, reports: vec![] },
            replaces: None,
        }];
        0, done(1) => [];
        10_999, TICK => [];
        1, TICK => [writes(state(1, 1_000, &[]), 1)];
        0, done(2) => [ReporterAction::Unknown { window: window(1_000) }];
    ]
    window_that_no_source_counted_is_unknown: Holder::with_due_window(), [
        9_500, TICK => [writes(state(5, 1_001, &[report(1_000, 3)]), 2)];
        0, done(3) => [ReporterAction::Unknown { window: window(1_001) }];
    ]
}

#[test]
fn window_waits_for_a_live_source_that_is_not_complete_but_not_for_ever() {
    let mut holder = Holder::with_due_window();
    holder.now_ms = 6_000;
    holder.reporter = {
        let mut other = Holder::with_due_window();
        other.now_ms = 5_000;
        // The second source told nothing yet, and the first one is dead: it keeps what it told last.
        assert_eq!(other.handle(ReporterEvent::SourcesSeen(vec![2])).len(), 0);
        other.reporter
    };
    assert_eq!(holder.tick(), []);
    holder.now_ms = 10_999;
    assert_eq!(holder.tick(), []);
    assert_eq!(holder.tick_after(1), [writes(frozen(), 2)]);
}

#[test]
fn new_holder_waits_for_shares_before_it_freezes() {
    let mut holder = Holder::new();
    holder.now_ms = 20_000;
    holder.handle(held(5, 60_000));
    holder.handle(found(state(4, 999, &[]), 1));
    assert_eq!(holder.handle(done(2)), []);
    assert_eq!(holder.tick_after(900), []);
    let counted = holder.handle(share(1_000, 3, true));
    assert_eq!(counted, []);
    assert!(holder.tick_after(100).iter().any(|it| matches!(it, ReporterAction::WriteState { state, .. } if state.reports == [report(1_000, 3)])));
}

/// The state must not grow without bound while the API is down, and no window may be frozen twice after it.
#[test]
fn frozen_reports_are_bounded_while_the_api_is_down() {
    let mut holder = Holder::with_frozen_window();
    let mut last = 0;
    for number in 1_001..1_200 {
        holder.now_ms = (number - 1_000) * 5_000 + 6_500;
        holder.handle(held(5, holder.now_ms + 60_000));
        for action in holder.handle(share(number, 1, true)) {
            match action {
                ReporterAction::WriteState { state, .. } => {
                    assert!(state.reports.len() <= UsageSettings::MAX_FROZEN);
                    last = state.reports.len();
                    holder.handle(done(number));
                }
                ReporterAction::SendReport { report, .. } => {
                    holder.handle(ended(report.window.number(), CallOutcome::Unknown));
                }
                _ => {}
            }
        }
    }
    assert_eq!(last, UsageSettings::MAX_FROZEN);
}

#[test]
fn state_survives_its_json_and_keeps_its_form() {
    let json = serde_json::to_string(&frozen()).expect("a state can be encoded");
    let expected = r#"{"term":5,"serial":0,"last_frozen":1000,"reports":[{"window":1000,"counts":{"acme":3}}]}"#;
    assert_eq!(json, expected);
    assert_eq!(serde_json::from_str::<ReportState>(&json).expect("a state"), frozen());
    assert_eq!(window(1_000).end(Duration::from_secs(5)), UnixTime::from_millis(START_MS + 5_000));
}
