#!/bin/bash
# Builds the stand-ins that the scripts of cases 11 to 15 start. It needs only the Rust compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/standins-3/main.rs -o target/review-3/standins
