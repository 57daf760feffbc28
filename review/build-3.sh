#!/usr/bin/env bash
# Builds the programs that the scripts of review/11 and later start: the clients, executors and platform of review/standins-3,
# with the project's own stand-ins as libraries. The daemon itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/standins-3/Cargo.toml --target-dir target/review-3
