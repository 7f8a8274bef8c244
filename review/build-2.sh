#!/bin/sh
# Builds the stand-ins of the second review's cases, without any dependency.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O --crate-name play review/stand-ins-2/main.rs -o target/review-2/play
