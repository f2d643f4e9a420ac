#!/usr/bin/env bash
# Compiles what the scripts of review/6 to 10 start, after the build of
# deploy/system.toml: the stand-ins are modules of the project and of
# review/rig, and need nothing beside target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps"
python3 -S -m compileall -q bamboodeck review/rig
python3 -S -c 'import review.rig.case, review.rig.memory'
