//! Faults that a test switches on.

use serde::{Deserialize, Serialize};

/// How a crash looks from outside.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Crash {
    /// The process exits.
    Exit,
    /// The engine starts anew at once, as it was first started.
    Reset,
}

/// The faults of an engine. `POST /_standin/faults` replaces all of them; a field left out is off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// The next change crashes half-way.
    pub crash_change: Option<Crash>,
    /// The next so many completion calls get 503.
    pub refuse: u32,
    /// Completion calls are accepted, not run and never answered.
    pub hang: bool,
    /// The next so many streams are cut after `cut_after` tokens.
    pub cut_streams: u32,
    /// Where those streams are cut, in tokens.
    pub cut_after: u32,
    /// A cut also loses the request, so that it can't be resumed.
    pub cut_loses: bool,
    /// The next so many answers are truncated: half of the body, or of an event, and the close.
    pub truncate: u32,
    /// The next so many answers hold something that is no JSON.
    pub garbage: u32,
    /// The next so many orders are refused with 503.
    pub refuse_orders: u32,
    /// The next so many orders take effect and lose their answers.
    pub lose_orders: u32,
}

/// What happens to one answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct AnswerFault {
    /// Cut before the token with this number.
    pub(super) cut_after: Option<u32>,
    pub(super) cut_loses: bool,
    pub(super) truncate: bool,
    pub(super) garbage: bool,
}

impl EngineFaults {
    /// Uses up one of a counted fault; whether there was one.
    pub(super) fn take(count: &mut u32) -> bool {
        let taken = *count > 0;
        *count = count.saturating_sub(1);
        taken
    }

    /// Uses up what happens to the next answer.
    pub(super) fn take_answer(&mut self, streamed: bool) -> AnswerFault {
        let cut = streamed && Self::take(&mut self.cut_streams);
        AnswerFault {
            cut_after: cut.then_some(self.cut_after),
            cut_loses: cut && self.cut_loses,
            truncate: Self::take(&mut self.truncate),
            garbage: Self::take(&mut self.garbage),
        }
    }
}
