//! What was seen of an endpoint after the end of a response, for the log.

use std::fmt::{self, Display, Formatter, Write};
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use daisychute_dispatch::EndpointSign;

/// Maximum length of the record, in bytes. Later looks are left out.
const MAX_BYTES: usize = 400;

/// The looks at an endpoint since the end of a response, each with its time in ms.
#[derive(Debug)]
pub(crate) struct Looks {
    ended_at: Instant,
    text: String,
}

impl Looks {
    /// Creates an empty record for a response that ended at this time.
    pub(crate) const fn new(ended_at: Instant) -> Self {
        Self { ended_at, text: String::new() }
    }

    /// The time since the end of the response.
    pub(crate) fn elapsed(&self) -> Duration {
        self.ended_at.elapsed()
    }

    /// Records a sign of the endpoint.
    pub(crate) fn record(&mut self, sign: EndpointSign) {
        if self.text.len() < MAX_BYTES {
            // Writing to a string can't fail.
            let _ = write!(self.text, "{} at {}; ", sign.as_str(), self.elapsed().as_millis());
        }
    }

    /// Records how long the last check took, and the status of its answer, if there was one.
    pub(crate) fn record_check(&mut self, status: Option<StatusCode>, took: Duration) {
        if self.text.len() < MAX_BYTES {
            let status = status.map_or(0, |it| it.as_u16());
            let _ = write!(self.text, "check {status} in {}: ", took.as_millis());
        }
    }
}

impl Display for Looks {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.text.trim_end_matches("; "))
    }
}
