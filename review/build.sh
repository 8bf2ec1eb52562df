#!/bin/sh
# Builds the stand-ins of the scripts. The project itself is built as its README says:
#   cargo build --release --workspace --locked
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline \
    --manifest-path review/standin/Cargo.toml --target-dir target/review
