#!/usr/bin/env bash
# Regenerates src/generated from the schema. Needs `capnp` and `cargo install capnpc`.
set -euo pipefail
cd "$(dirname "$0")"
capnp compile -orust:src/generated --src-prefix=schema schema/peer.capnp
