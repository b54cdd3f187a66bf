#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They use only the standard library of Rust.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rm -f target/review-2/case-*
for case in review/*/case-2.rs; do
    [ -e "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    rustc --edition 2021 -O -o "target/review-2/case-$number" "$case"
done
