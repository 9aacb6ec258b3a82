//! Bad input on every listener and in settings: each gets its typed error, and the process stays up and serves.

mod callers;
mod raw;
mod support;
