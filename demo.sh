#!/usr/bin/env bash
# Builds everything, starts a small fleet on loopback, and shows it at work.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --workspace --locked --bins --examples
cargo run --locked --quiet -p ashgauge-proof --example demo
