//! A simulated client that checks its response.

use daisychute_core::{RequestId, Verdict};
use daisychute_entry::core::{ResponsePart, Submission};
use daisychute_proto::Work;

use super::text;

/// A simulated client and the response that it received so far.
pub(crate) struct Client {
    entry: usize,
    submission: Submission,
    received: Vec<u8>,
    head_received: bool,
    last: Option<ResponsePart>,
    disconnected: bool,
}

impl Client {
    pub(crate) fn new(entry: usize, submission: &Submission) -> Self {
        Self {
            entry,
            submission: submission.clone(),
            received: Vec::new(),
            head_received: false,
            last: None,
            disconnected: false,
        }
    }

    pub(crate) fn entry(&self) -> usize {
        self.entry
    }

    pub(crate) fn is_open(&self) -> bool {
        self.last.is_none() && !self.disconnected
    }

    pub(crate) fn disconnect(&mut self) {
        self.disconnected = true;
    }

    /// Receives a response part. Returns the number of body bytes in it; `None` for parts without body.
    pub(crate) fn receive(&mut self, entry: usize, part: ResponsePart) -> Option<u64> {
        assert_eq!(entry, self.entry, "the response comes from another entry");
        assert!(self.last.is_none(), "{part:?} follows the final part {:?}", self.last);
        assert!(!self.disconnected, "{part:?} for a disconnected client");
        match part {
            ResponsePart::Head { .. } => {
                assert!(!self.head_received, "a second response head");
                self.head_received = true;
                None
            }
            ResponsePart::Data { data, .. } => {
                assert!(self.head_received, "response data before the head");
                self.received.extend_from_slice(&data);
                Some(data.len() as u64)
            }
            last @ (ResponsePart::End { .. } | ResponsePart::Refused(_)) => {
                self.last = Some(last);
                None
            }
        }
    }

    pub(crate) fn check(&self, id: RequestId, executions: u32) {
        let expected = text(id, &self.submission.work);
        assert!(expected.as_bytes().starts_with(&self.received), "{id} received a wrong response");
        if let Some(ResponsePart::End { .. }) = self.last {
            assert_eq!(
                self.received.len(),
                expected.len(),
                "{id} received a truncated response as complete"
            );
        }
        if let Some(ResponsePart::Refused(refusal)) = self.last {
            let not_run = refusal.verdict == Verdict::NotRun;
            assert!(
                !not_run || executions == 0,
                "{id} was reported as not run but ran {executions} times"
            );
        }
        let at_most_once = matches!(&self.submission.work, Work::Call(call) if !call.repeatable);
        assert!(!at_most_once || executions <= 1, "{id} ran {executions} times");
    }
}
