//! What tells fronts apart.

use std::net::SocketAddr;
use std::time::Duration;

use daisychute_dispatch::DispatchSettings;
use daisychute_front::{Ceilings, Front};

fn front(name: &str, incarnation: u64) -> Front {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Front {
        callers: any,
        ready: any,
        inner: any,
        metrics: any,
        snapshots: any,
        seeds: Vec::new(),
        name: name.to_owned(),
        ceilings: Ceilings::of(256, 4_096),
        dispatch: DispatchSettings::default(),
        stop_within: Duration::from_secs(8),
        incarnation,
    }
}

#[test]
fn fronts_that_start_together_differ() {
    assert_ne!(front("front-agdal-1", 7).identity(), front("front-hassan-1", 7).identity());
}

#[test]
fn starts_of_one_front_differ() {
    assert_ne!(front("front-agdal-1", 7).identity(), front("front-agdal-1", 8).identity());
}
