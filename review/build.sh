#!/usr/bin/env bash
# Compiles the stand-ins, which need nothing but the standard library of Python.
set -euo pipefail
cd "$(dirname "$0")/.."
compiled="$(mktemp -d)"
trap 'rm -rf "$compiled"' EXIT
PYTHONPYCACHEPREFIX="$compiled" python3 -m compileall -q review
test -d target/deps
