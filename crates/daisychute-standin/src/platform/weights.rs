//! The weight store.

use actix_http::StatusCode;

use super::State;
use super::api_error::ApiError;
use crate::http::{Reply, empty};

/// Loads weights, unless too many loads run.
pub(super) async fn load(state: &State, model: &str, version: &str) -> Reply {
    if state.weight_loads.get() >= state.config.weight_loads {
        state.seen.borrow_mut().weight_refusals += 1;
        return ApiError::TooManyRequests.reply();
    }
    let name = format!("{model}/{version}");
    *state.seen.borrow_mut().weight_loads.entry(name).or_default() += 1;
    let load = Load::start(state);
    actix_rt::time::sleep(state.config.weight_time).await;
    drop(load);
    empty(StatusCode::OK)
}

/// Counts a running load until dropped.
struct Load<'a> {
    state: &'a State,
}

impl<'a> Load<'a> {
    fn start(state: &'a State) -> Self {
        state.weight_loads.update(|it| it + 1);
        Self { state }
    }
}

impl Drop for Load<'_> {
    fn drop(&mut self) {
        self.state.weight_loads.update(|it| it - 1);
    }
}
