#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. Needs the build of the deploy file for the fronts.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/harness review/harness/main.rs
