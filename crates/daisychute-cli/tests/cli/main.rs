//! Runs the client against a stand-in of the platform and an entry with fixed responses.

#[macro_use]
mod support;

mod change;
mod docs;
mod look;
