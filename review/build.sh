#!/usr/bin/env bash
# Builds the stand-ins of the cases, with the standard library only. Run it after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/stand-ins/main.rs -o target/review/stand-ins
