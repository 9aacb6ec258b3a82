//! The daemon of daisychute, in the role that its settings name.

fn main() {}
