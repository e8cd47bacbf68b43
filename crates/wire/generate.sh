#!/usr/bin/env bash
# Generates src/generated/*.rs; needs capnproto and the crate capnpc at 0.27.0.
set -euo pipefail
cd "$(dirname "$0")"
for schema in peer report; do
    capnp compile -orust:src/generated --src-prefix=schema "schema/$schema.capnp"
    sed -i "s/crate::${schema}_capnp/crate::generated::${schema}_capnp/g" \
        "src/generated/${schema}_capnp.rs"
done
