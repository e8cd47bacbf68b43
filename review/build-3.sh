#!/bin/sh
# Builds the stand-ins of the cases from review/11 on. Needs the compiler only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/stand-ins-3/*.rs; do
    name=$(basename "$source" .rs)
    if grep -q '^fn main' "$source"; then
        rustc --edition 2021 -O -A dead_code -o "target/review-3/$name" "$source"
    fi
done
