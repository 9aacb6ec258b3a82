//! The client against a stand-in for the platform and an entry that answers from a table.

#[macro_use]
mod support;

mod change;
mod docs;
mod look;
