//! Depends on the library crates of daisychute, and has no items of its own.
