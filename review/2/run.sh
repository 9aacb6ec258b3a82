#!/usr/bin/env bash
# Runs the case with its disruption, or without it with TROUBLE=0. Needs the build of the deploy file and review/build.sh.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
harness=$root/target/review/harness
[[ -x $harness && -x $root/target/release/daisychuted ]] || exit 2
WORK=$(mktemp -d) || exit 2
export WORK
finish() {
    for file in "$WORK"/*.pid; do
        [[ -e $file ]] && kill -KILL "$(cat "$file")" 2>/dev/null
    done
    rm -rf "$WORK"
}
trap finish EXIT
timeout 110 "$harness" long-stream "$root" "$folder"
status=$?
[[ $status -le 2 ]] || status=2
exit $status
