#!/bin/sh
# Builds what the scripts of cases 4 and up start: the project's programs and the review's own.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --workspace
cargo build --release --locked --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
