//! A caller and what it must get.

use daisychute_core::{RequestId, Verdict};
use daisychute_entry::core::{Part, Submission};
use daisychute_proto::Work;

use super::text;

/// A caller and what it got so far.
pub(crate) struct Caller {
    entry: usize,
    submission: Submission,
    got: Vec<u8>,
    head: bool,
    last: Option<Part>,
    left: bool,
}

impl Caller {
    pub(crate) fn new(entry: usize, submission: &Submission) -> Self {
        Self {
            entry,
            submission: submission.clone(),
            got: Vec::new(),
            head: false,
            last: None,
            left: false,
        }
    }

    pub(crate) fn entry(&self) -> usize {
        self.entry
    }

    pub(crate) fn is_open(&self) -> bool {
        self.last.is_none() && !self.left
    }

    pub(crate) fn leave(&mut self) {
        self.left = true;
    }

    /// Takes a part and tells how many bytes were in it.
    pub(crate) fn take(&mut self, entry: usize, part: Part) -> Option<u64> {
        assert_eq!(entry, self.entry, "the answer comes from another entry");
        assert!(self.last.is_none(), "{part:?} follows the final answer {:?}", self.last);
        assert!(!self.left, "{part:?} for a caller that has left");
        match part {
            Part::Head { .. } => {
                assert!(!self.head, "two heads");
                self.head = true;
                None
            }
            Part::Data { data, .. } => {
                assert!(self.head, "an answer without a head");
                self.got.extend_from_slice(&data);
                Some(data.len() as u64)
            }
            last @ (Part::End { .. } | Part::Refused(_)) => {
                self.last = Some(last);
                None
            }
        }
    }

    pub(crate) fn check(&self, id: RequestId, executions: u32) {
        let expected = text(id, &self.submission.work);
        assert!(expected.as_bytes().starts_with(&self.got), "{id} got what is not its answer");
        if let Some(Part::End { .. }) = self.last {
            assert_eq!(self.got.len(), expected.len(), "{id} got a part for the whole");
        }
        if let Some(Part::Refused(refusal)) = self.last {
            let not_run = refusal.verdict == Verdict::NotRun;
            assert!(
                !not_run || executions == 0,
                "{id} is called not run and ran {executions} times"
            );
        }
        let once = matches!(&self.submission.work, Work::Call(call) if !call.repeatable);
        assert!(!once || executions <= 1, "{id} ran {executions} times");
    }
}
