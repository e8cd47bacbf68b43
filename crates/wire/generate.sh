#!/usr/bin/env bash
# Generates src/generated/peer_capnp.rs; needs capnproto and the crate capnpc at 0.27.0.
set -euo pipefail
cd "$(dirname "$0")"
capnp compile -orust:src/generated --src-prefix=schema schema/peer.capnp
sed -i 's/crate::peer_capnp/crate::generated::peer_capnp/g' src/generated/peer_capnp.rs
