//! Which peers a front asks for a snapshot.

use std::net::SocketAddr;

use daisychute_core::Time;
use daisychute_front::{Position, SnapshotSources};

fn peer(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn positions((configuration, endpoints): (u64, u64)) -> (Position, Position) {
    (Position::new(0, configuration), Position::new(0, endpoints))
}

/// Each case has what peers reported at time zero (port, configuration and endpoints), what the front itself has seen, and
/// the ports of the peers that it asks at the time in ms.
macro_rules! sources {
    ($($name:ident: $reported:expr, own $own:expr, at $ms:expr => $asked:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut sources = SnapshotSources::default();
            for (port, reported) in $reported {
                sources.record(Time::ZERO, peer(port), positions(reported));
            }
            let asked: Vec<u16> = $asked.to_vec();
            let now = Time::from_micros($ms * 1_000);
            let ahead = sources.ahead_of(now, positions($own));
            assert_eq!(ahead, asked.into_iter().map(peer).collect::<Vec<_>>());
        }
    )*};
}

sources! {
    // Guards against asking peers that are as late as the front itself.
    peers_that_are_late_too_are_not_asked: [(1, (5, 9)), (2, (6, 9)), (3, (5, 9))], own (5, 9), at 100 => [2];
    // Guards against a configuration that another one has replaced already.
    only_peers_with_the_latest_configuration_are_asked: [(1, (6, 9)), (2, (7, 3)), (3, (7, 9))], own (5, 9), at 100 => [2, 3];
    // Guards against fronts that miss changes of endpoints while the configuration stays.
    later_endpoints_count_where_the_configuration_is_known: [(1, (5, 9)), (2, (5, 12)), (3, (5, 11))], own (5, 10), at 100 => [2, 3];
    // Guards against asking peers that have ended.
    old_reports_do_not_count: [(1, (6, 9))], own (5, 9), at 3_000 => [];
    // Guards against asking a front for what it knew before it was started again.
    later_reports_replace_earlier_ones: [(1, (6, 9)), (1, (5, 9))], own (5, 9), at 100 => [];
}
