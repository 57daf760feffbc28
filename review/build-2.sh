#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
cargo build --release --locked --target-dir ../../target/review-2
