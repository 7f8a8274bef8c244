#!/usr/bin/env bash
# Builds the stand-ins that the scripts start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand-ins review/stand-ins/main.rs
