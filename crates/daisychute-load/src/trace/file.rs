//! Reading and writing of trace files (JSON lines).

use std::io::{self, BufRead, Write};

use miette::Diagnostic;
use thiserror::Error;

use super::header::Header;
use super::request::Request;

/// A trace: its header and its requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Trace {
    /// First line of the file.
    pub header: Header,
    /// Further lines of the file, in order of arrival.
    // Invariant: ordered by time; `class` and `tenant` are valid indices into the header.
    pub requests: Vec<Request>,
}

/// Errors when reading or writing a trace.
#[derive(Debug, Error, Diagnostic)]
pub enum TraceError {
    /// An I/O operation on the file failed.
    #[error("the trace can't be read or written")]
    Io(#[from] io::Error),
    /// The file has no line.
    #[error("the trace is empty")]
    Empty,
    /// A line is not valid JSON or has other fields than a header or request.
    #[error("line {line} is malformed")]
    Malformed {
        /// Number of the line, counted from 1.
        line: usize,
        /// Error of the JSON decoder.
        #[source]
        source: serde_json::Error,
    },
    /// A request refers to a class or tenant that the header doesn't have, or arrives before the one on the line above.
    #[error("line {line} names an unknown class or tenant, or is out of order")]
    BadRequest {
        /// Number of the line, counted from 1.
        line: usize,
    },
    /// The header or a request can't be encoded as JSON.
    #[error("the trace can't be encoded")]
    Encode(#[source] serde_json::Error),
}

impl Trace {
    /// Reads a trace.
    ///
    /// # Errors
    ///
    /// The file can't be read or is empty, or a line is malformed, out of order or refers to an unknown class or
    /// tenant.
    pub fn read(reader: impl BufRead) -> Result<Self, TraceError> {
        let mut lines = reader.lines();
        let first = lines.next().ok_or(TraceError::Empty)??;
        let header: Header = parse(1, &first)?;
        let mut trace = Self { header, requests: Vec::new() };
        for (i, line) in lines.enumerate() {
            let line_number = i + 2;
            let request: Request = parse(line_number, &line?)?;
            trace.push(request).ok_or(TraceError::BadRequest { line: line_number })?;
        }
        Ok(trace)
    }

    /// Writes the trace.
    ///
    /// # Errors
    ///
    /// The trace can't be encoded or written.
    pub fn write(&self, mut writer: impl Write) -> Result<(), TraceError> {
        let header = serde_json::to_string(&self.header).map_err(TraceError::Encode)?;
        writeln!(writer, "{header}")?;
        for request in &self.requests {
            let line = serde_json::to_string(request).map_err(TraceError::Encode)?;
            writeln!(writer, "{line}")?;
        }
        writer.flush()?;
        Ok(())
    }

    /// Appends a request, or returns `None` if it breaks the invariant of `requests`.
    fn push(&mut self, request: Request) -> Option<()> {
        let is_known = usize::from(request.class) < self.header.classes.len()
            && usize::from(request.tenant) < self.header.tenants.len();
        let is_ordered = self.requests.last().is_none_or(|it| it.at_ms <= request.at_ms);
        (is_known && is_ordered).then(|| self.requests.push(request))
    }
}

fn parse<T: serde::de::DeserializeOwned>(line: usize, text: &str) -> Result<T, TraceError> {
    serde_json::from_str(text).map_err(|source| TraceError::Malformed { line, source })
}
