#!/bin/sh
# Builds the stand-ins and the cases of the second review. The deployed program is built by the
# command of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/src-2/main.rs
