//! The weight store, from which engines download weights.

use actix_http::StatusCode;

use super::State;
use super::api_error::ApiError;
use crate::http::{Reply, empty};

/// Simulates a download of weights. Refuses it if too many downloads are in progress.
pub(super) async fn load(state: &State, model: &str, version: &str) -> Reply {
    if state.running_weight_loads.get() >= state.config.weight_loads {
        state.seen.borrow_mut().weight_refusals += 1;
        return ApiError::TooManyRequests.reply();
    }
    let name = format!("{model}/{version}");
    *state.seen.borrow_mut().weight_loads.entry(name).or_default() += 1;
    let running = RunningLoad::start(state);
    actix_rt::time::sleep(state.config.weight_time).await;
    drop(running);
    empty(StatusCode::OK)
}

/// Counts a download as in progress until dropped.
struct RunningLoad<'a> {
    state: &'a State,
}

impl<'a> RunningLoad<'a> {
    fn start(state: &'a State) -> Self {
        state.running_weight_loads.update(|it| it + 1);
        Self { state }
    }
}

impl Drop for RunningLoad<'_> {
    fn drop(&mut self) {
        self.state.running_weight_loads.update(|it| it - 1);
    }
}
