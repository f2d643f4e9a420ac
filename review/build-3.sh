#!/usr/bin/env bash
# Builds what the scripts of the third review start. The stand-ins of the
# store and the engines are the project's own (bamboodeck/fakes/platform); they
# need only what the build of deploy/system.toml has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:."
python3 -m compileall -q bamboodeck review/rig3 review/1[1-5]
python3 -S -c 'import review.rig3.fleet, review.rig3.callers'
