#!/usr/bin/env bash
# Starts the whole system with embedded stand-ins, shows the main job, ends all.
set -euo pipefail
cd "$(dirname "$0")/.."
. demo/processes.sh
. demo/system.sh

start_stand_ins
start_nodes
echo "Waiting for six entry hosts in three zones..."
wait_for_nodes

export BAMBOODECK_SERVER=127.0.0.1:7301 BAMBOODECK_KEY=admin-key-1
operate() { "$PYTHON" -m bamboodeck.admin "$@"; }

echo
echo "== The operators' configuration goes in, zone by zone"
operate config apply bamboodeck/configuration/example.ini --expected-revision 0
wait_for http://127.0.0.1:7000/ready

echo
echo "== A request by hand"
"$PYTHON" demo/ask.py school-key-2 chat "Which size fits a child of 128 cm?"

echo
echo "== A payment, sent twice with one key"
"$PYTHON" demo/pay.py school-key-1

echo
echo "== A stream of requests of four customers through the balancer"
"$PYTHON" demo/stream.py

echo
echo "== What the operators see"
operate status
echo
echo "Bills are folded every 10 s..."
sleep 12
operate bills
operate preset show
echo
echo "The demo is done."
