//! Replay of a trace against a live deployment, over HTTP.
//!
//! Completions go to `/v1/completions` as a stream of server-sent events, calls to `/services/{service}/{class}`.
//! Prompts are made of words so that the shared prefix of a trace is the same text each time.

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

/// How a trace is replayed.
#[derive(Debug, Clone, PartialEq)]
pub struct LiveOptions {
    /// The base address of an entry, without a slash at its end.
    pub entry: String,
    /// The bearer token, where the entry asks for one.
    pub token: Option<String>,
    /// Requests are sent so many times as fast as they were recorded.
    pub speed: f64,
    /// Only the requests of the first seconds of the trace.
    pub seconds: Option<f64>,
}

impl LiveOptions {
    /// A whole replay at the recorded speed.
    #[must_use]
    pub fn new(entry: impl Into<String>) -> Self {
        Self { entry: entry.into(), token: None, speed: 1.0, seconds: None }
    }

    /// The same with this bearer token.
    #[must_use]
    pub fn token(mut self, token: impl Into<Option<String>>) -> Self {
        self.token = token.into();
        self
    }

    /// The same, so many times as fast.
    #[must_use]
    pub fn speed(mut self, speed: f64) -> Self {
        self.speed = speed;
        self
    }

    /// The same for the first seconds of the trace only.
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
    let last = options.seconds.unwrap_or(f64::INFINITY) * 1e3;
    let wanted = (0..trace.requests.len()).filter(|it| f64::from(trace.requests[*it].at_ms) < last);
    let running: Vec<_> = wanted
        .map(|place| {
            let (trace, options, client) = (Rc::clone(&trace), Rc::clone(&options), client.clone());
            actix_rt::spawn(async move {
                let at = Duration::from_millis(u64::from(trace.requests[place].at_ms));
                sleep(at.div_f64(options.speed).saturating_sub(started.elapsed())).await;
                (place, request::send(&client, &trace, place, &options).await)
            })
        })
        .collect();
    let mut report = LiveReport::new();
    for (place, outcome) in join_all(running).await.into_iter().flatten() {
        let outcome: Result<Outcome, LiveError> = outcome;
        report.add(&trace, place, outcome.as_ref());
    }
    report
}
