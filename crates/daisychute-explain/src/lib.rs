//! Finds in the logs of several processes how one request ended, and why.
//!
//! ```
//! use daisychute_explain::{Explanation, LogLine};
//!
//! let log = r#"{"time":"2026-01-01T00:00:01Z","level":"WARN","process":"front-1","message":"request ended",
//!     "request":"9c41","outcome":"refused","reason":"overload","predicted_ms":"950",
//!     "wait_ms":"700","retry_after_ms":"Some(250)","elapsed_ms":"0"}"#;
//! let lines = [log.replace('\n', "")];
//! let lines: Vec<_> = lines.iter().filter_map(|it| LogLine::parse(it)).collect();
//! let explanation = Explanation::of("9c41", &lines).expect("the request is in the log");
//! assert!(explanation.cause.starts_with("refused at once"));
//! ```

mod cause;
mod explanation;
mod log_line;

pub use crate::explanation::Explanation;
pub use crate::log_line::LogLine;
