//! Names for things that operators can't configure: weights, and the addresses of instances.

/// First words of section headers, and keys, that are rejected with a message of their own.
pub(super) const RESERVED_WORDS: &[&str] = &[
    "address",
    "addresses",
    "endpoint",
    "endpoints",
    "engine",
    "engines",
    "host",
    "instance",
    "instances",
    "port",
    "priority",
    "replicas",
    "role",
    "share",
    "shares",
    "url",
    "weight",
    "weights",
    "worker",
    "workers",
];
