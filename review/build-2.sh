#!/bin/sh
# Builds the stand-ins of the cases 6 to 10; needs no network. The sidecar itself is built by the
# command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/rig-2/Cargo.toml --target-dir target/review-2
