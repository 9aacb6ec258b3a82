//! Positions of the directory before and after it was restored from a copy.

use std::time::Duration;

use daisychute_core::Time;
use daisychute_front::{Collection, Continuity, Position, Revisions, StoreEra};

fn at(ms: u64) -> Time {
    Time::from_micros(ms * 1_000)
}

fn position(it: (u64, u64)) -> Position {
    Position::new(it.0, it.1)
}

/// Each case has the position that a front has seen, those that a peer reports half a second apart, and whether the front
/// is behind afterwards and replaced its watch.
macro_rules! reports {
    ($($name:ident: seen $seen:expr, reported $reported:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let revisions = Revisions::default();
                revisions.record_seen(Collection::Endpoints, position($seen));
                let mut lagging = false;
                for (number, reported) in $reported.into_iter().enumerate() {
                    let now = at(500 * number as u64);
                    let reported = (Position::default(), position(reported));
                    lagging |= revisions.record_reported(now, reported, || Duration::ZERO).1;
                }
                assert_eq!((revisions.is_behind(), lagging), $expected);
            }
        )*
    };
}

reports! {
    // Guards against missing changes that got a revision which was seen before the return.
    a_lower_revision_of_a_later_era_is_ahead: seen (1, 90), reported [(2, 40), (2, 40)] => (true, true);
    // Guards against taking a peer for ahead for good that hasn't learned of the return.
    a_higher_revision_of_an_earlier_era_is_not_ahead: seen (2, 40), reported [(1, 90), (1, 91)] => (false, false);
    // Guards against a peer from before the return hiding one from after it.
    an_earlier_era_does_not_hide_a_later_one: seen (1, 90), reported [(2, 40), (1, 95)] => (true, true);
    // Guards against comparing only eras.
    revisions_count_within_an_era: seen (2, 40), reported [(2, 41), (2, 41)] => (true, true);
    // Guards against a change of behaviour with stores that have no eras.
    without_eras_revisions_count: seen (0, 40), reported [(0, 40), (0, 39)] => (false, false);
}

/// Guards against a revision from before the return that outlives it.
#[test]
fn a_listing_after_the_return_is_the_latest_seen() {
    let revisions = Revisions::default();
    revisions.record_seen(Collection::Endpoints, position((1, 90)));
    revisions.record_covered(Collection::Endpoints, position((1, 90)));
    revisions.record_seen(Collection::Endpoints, position((2, 40)));
    revisions.record_covered(Collection::Endpoints, position((2, 41)));
    revisions.record_seen(Collection::Endpoints, position((1, 95)));
    revisions.record_covered(Collection::Endpoints, position((1, 95)));
    assert_eq!(revisions.latest_seen().1, position((2, 40)));
    assert_eq!(revisions.endpoints_covered(), position((2, 41)));
}

/// What may reach a front around a return of the directory from era 1 to era 2.
#[derive(Debug, Clone, Copy)]
enum Arrival {
    /// Changes after revision 80, from before the return.
    AnswerFromBefore,
    /// The watch ends with 410 in the new era.
    HistoryGone,
    /// A complete listing from after the return.
    ListingFromAfter,
    /// The changes after revision 80 in the new era, which lack those before it.
    ChangesFromAfter,
    /// The snapshot of a peer that doesn't know of the return.
    SnapshotFromBefore,
    /// The snapshot of a peer that has listed after the return.
    SnapshotFromAfter,
}

/// A front that applies what continues its picture of the directory.
struct Model {
    era: StoreEra,
    revisions: Revisions,
    /// Where the pending watch started; `None` while a listing is needed.
    watched: Option<Position>,
}

impl Model {
    fn new() -> Self {
        let (era, revisions) = (StoreEra::default(), Revisions::default());
        era.record(at(0), 1);
        revisions.record_covered(Collection::Endpoints, position((1, 80)));
        Self { era, revisions, watched: Some(position((1, 80))) }
    }

    fn listing(&mut self, after: Option<Position>, taken_at: Position) {
        self.era.record(at(1), taken_at.era());
        match self.era.continuity(after, taken_at) {
            Continuity::Continues => {
                self.revisions.record_covered(Collection::Endpoints, taken_at);
                self.watched = Some(taken_at);
            }
            Continuity::Outdated => {}
            Continuity::Restored => self.watched = None,
        }
    }

    fn snapshot(&mut self, covered: Position) {
        self.era.record(at(1), covered.era());
        if self.revisions.endpoints_covered() < covered {
            self.revisions.record_covered(Collection::Endpoints, covered);
        }
    }

    fn handle(&mut self, arrival: Arrival) {
        let watch = Some(position((1, 80)));
        match arrival {
            Arrival::AnswerFromBefore => self.listing(watch, position((1, 90))),
            Arrival::HistoryGone => {
                self.era.record(at(1), 2);
                self.watched = None;
            }
            Arrival::ListingFromAfter => self.listing(None, position((2, 40))),
            Arrival::ChangesFromAfter => self.listing(watch, position((2, 85))),
            Arrival::SnapshotFromBefore => self.snapshot(position((1, 95))),
            Arrival::SnapshotFromAfter => self.snapshot(position((2, 41))),
        }
    }
}

/// Calls `check` with every order of `items`.
fn permutations<T: Copy>(items: &mut [T], fixed: usize, check: &mut impl FnMut(&[T])) {
    if fixed == items.len() {
        return check(items);
    }
    for other in fixed..items.len() {
        items.swap(fixed, other);
        permutations(items, fixed + 1, check);
        items.swap(fixed, other);
    }
}

/// Guards against a picture that goes back to the earlier era, or that lacks changes of the later one, in any order of
/// arrivals.
#[test]
fn every_order_of_arrivals_ends_in_the_later_era() {
    use Arrival::{
        AnswerFromBefore, ChangesFromAfter, HistoryGone, ListingFromAfter, SnapshotFromAfter,
        SnapshotFromBefore,
    };
    let mut arrivals = [
        AnswerFromBefore,
        HistoryGone,
        ListingFromAfter,
        ChangesFromAfter,
        SnapshotFromBefore,
        SnapshotFromAfter,
    ];
    let mut orders = 0;
    permutations(&mut arrivals, 0, &mut |order| {
        orders += 1;
        let mut model = Model::new();
        for arrival in order {
            let before = model.revisions.endpoints_covered();
            model.handle(*arrival);
            assert!(model.revisions.endpoints_covered() >= before, "{order:?}");
            let stale_watch = model.watched.is_some_and(|it| it.era() < model.era.latest());
            let from_after = matches!(arrival, ListingFromAfter | ChangesFromAfter | HistoryGone);
            assert!(!(from_after && stale_watch), "{arrival:?} in {order:?}");
        }
        assert_eq!(model.revisions.endpoints_covered(), position((2, 41)), "{order:?}");
        assert_eq!(model.era.latest(), 2);
    });
    assert_eq!(orders, 720);
}

// Guards against snapshots that claim to contain changes of endpoints that their sender hasn't seen, and against a silent
// watch that doesn't count as lagging: both restored workers that had left.
#[test]
fn a_listing_of_fronts_tells_nothing_of_endpoints() {
    let revisions = Revisions::default();
    revisions.record_seen(Collection::Endpoints, position((1, 90)));
    revisions.record_covered(Collection::Endpoints, position((1, 92)));
    revisions.record_reported(at(0), (Position::default(), position((1, 95))), || Duration::ZERO);
    revisions.record_seen(Collection::Fronts, position((1, 100)));
    revisions.record_covered(Collection::Fronts, position((1, 105)));
    assert_eq!(revisions.endpoints_covered(), position((1, 92)));
    assert_eq!(revisions.latest_seen().1, position((1, 90)));
    assert!(revisions.is_behind());
}
