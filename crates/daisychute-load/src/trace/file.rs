//! Traces as files of JSON lines.

use std::io::{self, BufRead, Write};

use miette::Diagnostic;
use thiserror::Error;

use super::header::Header;
use super::request::Request;

/// A whole trace.
#[derive(Debug, Clone, PartialEq)]
pub struct Trace {
    /// Its first line.
    pub header: Header,
    /// Its requests.
    // Invariant: by time; `class` and `tenant` are places in the header.
    pub requests: Vec<Request>,
}

/// Why a trace can't be read or written.
#[derive(Debug, Error, Diagnostic)]
pub enum TraceError {
    /// The file can't be read or written.
    #[error("the trace can't be read or written")]
    Io(#[from] io::Error),
    /// There is no first line.
    #[error("the trace is empty")]
    Empty,
    /// A line is not what it should be.
    #[error("line {line} is malformed")]
    Malformed {
        /// The line, from 1.
        line: usize,
        /// What the decoder said.
        #[source]
        source: serde_json::Error,
    },
    /// A request names a class or tenant that the header doesn't have, or comes before the one above it.
    #[error("line {line} names an unknown class or tenant, or is out of order")]
    BadRequest {
        /// The line, from 1.
        line: usize,
    },
    /// A line can't be written.
    #[error("the trace can't be encoded")]
    Encode(#[source] serde_json::Error),
}

impl Trace {
    /// Reads a trace.
    ///
    /// # Errors
    ///
    /// The file can't be read, or a line is malformed.
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
    /// The file can't be written.
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

    fn push(&mut self, request: Request) -> Option<()> {
        let known = usize::from(request.class) < self.header.classes.len()
            && usize::from(request.tenant) < self.header.tenants.len();
        let ordered = self.requests.last().is_none_or(|it| it.at_ms <= request.at_ms);
        (known && ordered).then(|| self.requests.push(request))
    }
}

fn parse<T: serde::de::DeserializeOwned>(line: usize, text: &str) -> Result<T, TraceError> {
    serde_json::from_str(text).map_err(|source| TraceError::Malformed { line, source })
}
