//! Which connection gives way to a new one.

use daisychute_front::{ConnectionSlot, ConnectionSlots};
use futures_util::FutureExt;

const LIMIT: usize = 3;

/// As many connections as are allowed, in order of their admission.
fn full() -> (ConnectionSlots, [ConnectionSlot; LIMIT]) {
    let slots = ConnectionSlots::default();
    let connections = [(); LIMIT].map(|()| slots.admit(LIMIT).expect("below the limit"));
    (slots, connections)
}

fn evicted(connections: &[ConnectionSlot]) -> Vec<usize> {
    (0..connections.len()).filter(|it| connections[*it].is_evicted()).collect()
}

/// Each case has what happens before further connections are admitted, their number, and which ones give way.
macro_rules! cases {
    ($($name:ident: $events:expr, $admitted:expr => $evicted:expr;)*) => {$(
        #[test]
        fn $name() {
            let (slots, connections) = full();
            let events: fn(&[ConnectionSlot]) = $events;
            events(&connections);
            let _admitted: Vec<_> = (0..$admitted).map(|_| slots.admit(LIMIT)).collect();
            assert_eq!(evicted(&connections), $evicted);
            assert_eq!(slots.open(), LIMIT);
        }
    )*};
}

cases! {
    no_connection_gives_way_at_the_limit: |_| (), 0 => Vec::<usize>::new();
    first_connection_gives_way: |_| (), 1 => [0];
    connections_give_way_in_order: |_| (), 2 => [0, 1];
    new_connections_give_way_last: |_| (), 4 => [0, 1, 2];
    answered_connection_waits_anew: |it| it[0].wait(), 1 => [1];
    served_connection_stays: |it| it[0].serve(), 3 => [1, 2];
    served_connection_waits_anew: |it| { it[0].serve(); it[0].wait(); }, 2 => [1, 2];
    connection_is_served_once_only: |it| { it[0].serve(); it[0].serve(); it[0].wait(); }, 3 => [0, 1, 2];
}

#[test]
fn no_connection_is_admitted_while_all_are_served() {
    let (slots, connections) = full();
    connections.iter().for_each(ConnectionSlot::serve);
    assert!(slots.admit(LIMIT).is_none());
    assert_eq!((evicted(&connections), slots.open()), (vec![], LIMIT));
}

#[test]
fn closed_connections_leave_their_places() {
    let (slots, [first, second, third]) = full();
    second.serve();
    drop(second);
    assert_eq!(slots.open(), LIMIT - 1);
    let fourth = slots.admit(LIMIT).expect("a free place");
    assert!(!first.is_evicted());
    drop(first);
    let _fifth = slots.admit(LIMIT).expect("a free place");
    assert!(evicted(&[third, fourth]).is_empty());
}

#[test]
fn evicted_connections_are_counted_once() {
    let (slots, [first, second, third]) = full();
    let fourth = slots.admit(LIMIT).expect("the first gives way");
    // What an evicted connection still does changes nothing.
    first.wait();
    drop(first);
    assert_eq!(slots.open(), LIMIT);
    drop((second, third, fourth));
    assert_eq!(slots.open(), 0);
}

#[test]
fn lower_limit_evicts_several() {
    let (slots, connections) = full();
    let _fourth = slots.admit(2).expect("two give way");
    assert_eq!((evicted(&connections), slots.open()), (vec![0, 1], 2));
}

#[test]
fn limit_of_none_admits_none() {
    assert!(ConnectionSlots::default().admit(0).is_none());
}

#[test]
fn connection_that_is_evicted_is_told() {
    let (slots, [first, second, _]) = full();
    assert_eq!(first.evicted().now_or_never(), None);
    assert!(slots.evict());
    // It is told as often as it asks.
    assert_eq!(first.evicted().now_or_never(), Some(()));
    assert_eq!(first.evicted().now_or_never(), Some(()));
    assert_eq!(second.evicted().now_or_never(), None);
}

#[test]
fn connection_that_asks_before_its_eviction_is_told() {
    let (slots, [first, ..]) = full();
    let mut told = Box::pin(first.evicted());
    assert_eq!((&mut told).now_or_never(), None);
    assert!(slots.evict());
    assert_eq!(told.now_or_never(), Some(()));
}
