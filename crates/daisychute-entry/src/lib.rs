//! The entry: callers' HTTP interface, routing, retries and refusals.
