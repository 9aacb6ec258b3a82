//! Generates traces of requests and replays them against a live deployment.

fn main() {}
