#!/bin/sh
# Builds the stand-ins of the third review's scripts. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/review-3 review/src-3/main.rs
