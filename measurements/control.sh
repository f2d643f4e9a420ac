#!/usr/bin/env bash
# Measures what the idle nodes of the demo's six hosts spend on control.
set -euo pipefail
cd "$(dirname "$0")/.."
. demo/processes.sh
. demo/system.sh
DURATION_S="${DURATION_S:-30}"

start_stand_ins
start_nodes
wait_for_nodes
export BAMBOODECK_SERVER=127.0.0.1:7301 BAMBOODECK_KEY=admin-key-1
"$PYTHON" -m bamboodeck.admin config apply \
  bamboodeck/configuration/example.ini --expected-revision 0 --wait-s 10
sleep 10
targets=()
for n in 1 2 3 4 5 6; do
  targets+=(--target "127.0.0.1:730$n" --target "127.0.0.1:733$n")
done
"$PYTHON" -m bamboodeck.bench control --duration-s "$DURATION_S" "${targets[@]}"
