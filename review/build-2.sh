#!/bin/sh
# Builds the stand-ins of the second review, which use nothing but the standard library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/stand-ins-2/main.rs
