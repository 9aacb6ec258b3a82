//! Words that operators never give: weights, and the addresses of instances.

/// First words of sections and names of keys that are refused with a reason of their own.
pub(super) const REFUSED_WORDS: &[&str] = &[
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
