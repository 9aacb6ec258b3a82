//! Calls that control the stand-in itself.

use actix_http::StatusCode;

use super::faults::Crash;
use super::state::State;
use crate::http::{Incoming, Reply, empty, json};

/// Handles a call below `/_standin`.
pub(super) fn handle(state: &State, req: &Incoming, method: &str, rest: &[&str]) -> Reply {
    match (method, rest) {
        ("GET", ["seen"]) => json(StatusCode::OK, &*state.seen.borrow()),
        ("GET", ["faults"]) => json(StatusCode::OK, &state.faults.get()),
        ("POST", ["faults"]) => set_faults(state, req),
        ("POST", ["crash"]) => {
            state.crash_as(Crash::Reset);
            empty(StatusCode::OK)
        }
        ("GET", ["kv", handle]) => exported_cache(state, handle),
        _ => empty(StatusCode::NOT_FOUND),
    }
}

fn set_faults(state: &State, req: &Incoming) -> Reply {
    match serde_json::from_slice(&req.body) {
        Ok(faults) => {
            state.faults.set(faults);
            json(StatusCode::OK, &faults)
        }
        Err(_) => empty(StatusCode::BAD_REQUEST),
    }
}

/// Returns an exported KV cache to the engine that imports it.
fn exported_cache(state: &State, handle: &str) -> Reply {
    let memory = state.memory.borrow();
    memory
        .kv
        .exported(handle)
        .map_or_else(|| empty(StatusCode::NOT_FOUND), |cache| json(StatusCode::OK, cache))
}
