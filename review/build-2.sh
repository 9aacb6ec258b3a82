#!/bin/sh
# Builds the stand-ins of the cases of the second review. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
