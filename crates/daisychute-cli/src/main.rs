//! The command-line client for operators.

fn main() {}
