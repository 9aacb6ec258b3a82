//! The cases.

use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::front::{Addresses, Front, Settings};
use crate::http;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Behaviour, Worker};

mod big_bodies;
mod long_stream;
mod silent_store;
mod split_route;
mod unreadable_entry;

type Error = Box<dyn std::error::Error>;

/// Where a case runs, and whether with its disruption.
pub struct Context {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub trouble: bool,
}

impl Context {
    fn record(&self) -> Result<Record, Error> {
        let path =
            std::env::var("RECORD").map_or_else(|_| self.folder.join("record.txt"), PathBuf::from);
        Ok(Record::create(&path)?)
    }

    /// Starts fronts that know each other's addresses, and waits until all are ready.
    fn start_fronts(&self, count: usize, settings: &Settings) -> Result<Vec<Front>, Error> {
        let addresses: Vec<_> = (0..count).map(|_| Addresses::free()).collect::<Result<_, _>>()?;
        let seeds: Vec<_> = addresses.iter().take(3).map(|it| it.snapshots).collect();
        let folder = PathBuf::from(std::env::var("WORK")?);
        let mut fronts = Vec::new();
        for (index, addresses) in addresses.into_iter().enumerate() {
            let name = format!("front-agdal-{}", index + 1);
            fronts.push(Front::start(&self.root, &folder, &name, addresses, &seeds, settings)?);
        }
        for front in &fronts {
            front.wait_ready()?;
        }
        Ok(fronts)
    }
}

/// Runs a case. Returns whether the rule held.
pub fn run(case: &str, cx: &Context) -> Result<bool, Error> {
    match case {
        "big-bodies" => big_bodies::run(cx),
        "long-stream" => long_stream::run(cx),
        "silent-store" => silent_store::run(cx),
        "split-route" => split_route::run(cx),
        "unreadable-entry" => unreadable_entry::run(cx),
        _ => Err(format!("unknown case {case}").into()),
    }
}

/// A route of a configuration.
struct Route<'a> {
    name: &'a str,
    path: &'a str,
    kind: &'a str,
    service: &'a str,
    attempts: u32,
    timeout_ms: u32,
    goal_ms: u32,
}

const HOST: &str = "ficu95.example";

/// Formats a configuration. Services whose names begin with `lm` have engines.
fn configuration(
    version: u64,
    routes: &[Route<'_>],
    services: &[&str],
    max_body_bytes: u64,
) -> String {
    let route = |it: &Route<'_>| {
        let Route { name, path, kind, service, attempts, timeout_ms, goal_ms } = it;
        let streaming = *kind == "streaming";
        let gap = if streaming { ",\"gap_aim_ms\":150" } else { "" };
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{path}\",\"kind\":\"{kind}\",\
             \"timeout_ms\":{timeout_ms},\"latency_goal_ms\":{goal_ms},\"priority\":1,\"service\":\"{service}\",\
             \"max_attempts\":{attempts},\"resumable\":{streaming},\"sticky\":{streaming}{gap}}}"
        )
    };
    let service = |it: &&str| {
        let engine = ",\"engine\":{\"slots\":16,\"kv_tokens\":441788,\"kv_bytes\":131072,\"link_mbps\":740000.0,\
                      \"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}";
        let engine = if it.starts_with("lm") { engine } else { "" };
        format!("{{\"name\":\"{it}\",\"health_path\":\"/health\",\"max_conns\":160{engine}}}")
    };
    let routes: Vec<_> = routes.iter().map(route).collect();
    let services: Vec<_> = services.iter().map(service).collect();
    let (routes, services) = (routes.join(","), services.join(","));
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{services}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":{max_body_bytes},\"header_timeout_ms\":2000,\
         \"idle_timeout_ms\":10000}}}}"
    )
}
