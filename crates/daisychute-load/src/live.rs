//! Replay of a trace against a live deployment, over HTTP.
//!
//! Completions go to `/v1/completions` as a stream of server-sent events, calls to `/services/{service}/{class}`.
//! Prompts with the same prefix in the trace begin with the same text.

mod error;
mod prompt;
mod report;
mod request;

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use awc::Client;
use futures_util::future::join_all;

pub use self::error::LiveError;
pub use self::prompt::prompt;
pub use self::report::LiveReport;
use self::request::Outcome;
use crate::trace::Trace;

/// Options of a live replay.
#[derive(Debug, Clone, PartialEq)]
pub struct LiveOptions {
    /// Base address of an entry, without a trailing slash.
    pub entry: String,
    /// Bearer token; `None` if the entry requires none.
    pub token: Option<String>,
    /// Factor by which requests are sent faster than recorded; 1 is the recorded speed.
    pub speed: f64,
    /// Only the requests of this many seconds from the start of the trace are sent; `None` sends all.
    pub seconds: Option<f64>,
}

impl LiveOptions {
    /// Replay of the whole trace at the recorded speed, without a token.
    #[must_use]
    pub fn new(entry: impl Into<String>) -> Self {
        Self { entry: entry.into(), token: None, speed: 1.0, seconds: None }
    }

    /// Sets the bearer token.
    #[must_use]
    pub fn token(mut self, token: impl Into<Option<String>>) -> Self {
        self.token = token.into();
        self
    }

    /// Sets the speed factor.
    #[must_use]
    pub fn speed(mut self, speed: f64) -> Self {
        self.speed = speed;
        self
    }

    /// Limits the replay to this many seconds from the start of the trace.
    #[must_use]
    pub fn seconds(mut self, seconds: impl Into<Option<f64>>) -> Self {
        self.seconds = seconds.into();
        self
    }
}

/// Replays a trace. Must run on an `actix-rt` system. A request that fails is counted and doesn't end the replay.
pub async fn replay_live(trace: Rc<Trace>, options: LiveOptions) -> LiveReport {
    let options = Rc::new(options);
    let client = Client::builder().disable_timeout().finish();
    let started = Instant::now();
    let end_ms = options.seconds.unwrap_or(f64::INFINITY) * 1e3;
    let selected =
        (0..trace.requests.len()).filter(|it| f64::from(trace.requests[*it].at_ms) < end_ms);
    let tasks: Vec<_> = selected
        .map(|index| {
            let (trace, options, client) = (Rc::clone(&trace), Rc::clone(&options), client.clone());
            actix_rt::spawn(async move {
                let at = Duration::from_millis(u64::from(trace.requests[index].at_ms));
                sleep(at.div_f64(options.speed).saturating_sub(started.elapsed())).await;
                (index, request::send(&client, &trace, index, &options).await)
            })
        })
        .collect();
    let mut report = LiveReport::new();
    for (index, outcome) in join_all(tasks).await.into_iter().flatten() {
        let outcome: Result<Outcome, LiveError> = outcome;
        report.add(&trace, index, outcome.as_ref());
    }
    report
}
