//! The body of a request.

use std::collections::VecDeque;
use std::io::IoSlice;
use std::rc::Rc;

use bytes::{Buf, Bytes, BytesMut};

/// Maximum size of a segment, in bytes. Segments of one size leave no gaps behind that only smaller bodies fit in.
const SEGMENT_BYTES: usize = 32 * 1024;

/// Minimum size of a segment of a body whose length isn't known, in bytes.
const MIN_SEGMENT_BYTES: usize = 4 * 1024;

/// The body of a request, in segments. Clones share them.
#[derive(Debug, Clone, Default)]
pub(crate) struct Body {
    segments: Rc<[Bytes]>,
    len: usize,
}

impl Body {
    pub(crate) const fn len(&self) -> usize {
        self.len
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The segments, in order.
    pub(crate) fn segments(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.iter().map(|it| &it[..])
    }

    /// Returns a reader that begins at the first byte.
    pub(crate) fn reader(&self) -> BodyReader {
        BodyReader { segments: self.segments.iter().cloned().collect() }
    }
}

/// A body that is being received.
#[derive(Debug, Default)]
pub(crate) struct BodyBuilder {
    full: Vec<Bytes>,
    /// The last segment, which isn't full.
    last: BytesMut,
    len: usize,
}

impl BodyBuilder {
    pub(crate) const fn len(&self) -> usize {
        self.len
    }

    /// Appends bytes of a body that has this length, if that is known.
    pub(crate) fn push(&mut self, mut bytes: &[u8], length: Option<usize>) {
        while !bytes.is_empty() {
            if self.last.capacity() == 0 {
                let rest = match length {
                    Some(length) => length.saturating_sub(self.len),
                    None => self.len.max(MIN_SEGMENT_BYTES),
                };
                let capacity = rest.max(bytes.len()).min(SEGMENT_BYTES);
                self.last = BytesMut::with_capacity(capacity);
            }
            let count = bytes.len().min(self.last.capacity() - self.last.len());
            self.last.extend_from_slice(&bytes[..count]);
            self.len += count;
            bytes = &bytes[count..];
            if self.last.len() == self.last.capacity() {
                self.full.push(std::mem::take(&mut self.last).freeze());
            }
        }
    }

    pub(crate) fn finish(mut self) -> Body {
        if !self.last.is_empty() {
            self.full.push(self.last.freeze());
        }
        Body { segments: self.full.into(), len: self.len }
    }
}

/// Reads a body, without copying it.
#[derive(Debug, Clone)]
pub(crate) struct BodyReader {
    /// The segments that aren't read to their end. None is empty.
    segments: VecDeque<Bytes>,
}

impl Buf for BodyReader {
    fn remaining(&self) -> usize {
        self.segments.iter().map(Bytes::len).sum()
    }

    fn chunk(&self) -> &[u8] {
        self.segments.front().map_or(&[], |it| &it[..])
    }

    fn chunks_vectored<'a>(&'a self, dst: &mut [IoSlice<'a>]) -> usize {
        let mut count = 0;
        for (slice, segment) in dst.iter_mut().zip(&self.segments) {
            *slice = IoSlice::new(segment);
            count += 1;
        }
        count
    }

    fn advance(&mut self, mut count: usize) {
        while count > 0 {
            let Some(first) = self.segments.front_mut() else {
                panic!("advanced by {count} bytes past the end of a body");
            };
            if count < first.len() {
                first.advance(count);
                return;
            }
            count -= first.len();
            self.segments.pop_front();
        }
    }
}
