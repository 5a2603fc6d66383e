#!/bin/sh
# Builds what the scripts of the second review start beside the gateway, into target/review-2.
# Needs the Rust toolchain alone; nothing is fetched.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/[4-8]/case.rs; do
    [ -e "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O "$case" -o "target/review-2/case-$number"
done
