//! At-most-once execution and durable jobs.
