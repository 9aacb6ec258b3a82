//! Bad input on every listener and in settings: each gets its typed error, and the process stays up and serves.

mod admin;
mod callers;
mod connections;
mod inner;
mod raw;
mod settings;
mod support;
