#!/usr/bin/env bash
# Measures what one entry process adds to streamed answers: the same load goes
# straight to the engine stand-ins and then through the entry process.
set -euo pipefail
cd "$(dirname "$0")/.."
. demo/processes.sh
RATE="${RATE:-35}"
TOKENS="${TOKENS:-480}"
TOKEN_MS="${TOKEN_MS:-30}"
END_S="${END_S:-20}"
ENGINES="${ENGINES:-4}"
LOADS="${LOADS:-4}"
SEED="${SEED:-1}"

wait_for_port() {
  local tries
  for tries in $(seq 100); do
    if (: <"/dev/tcp/127.0.0.1/$1") 2>/dev/null; then return; fi
    sleep 0.1
  done
  echo "Nothing listens on port $1 after $tries tries" >&2
  exit 1
}

watched=()
targets=()
for n in $(seq "$ENGINES"); do
  start "engine$n" bamboodeck.fakes engine --name "engine-$n" \
    --listen "127.0.0.1:$((7800 + n))" --versions small@1 \
    --first-token-ms 100 --token-ms "$TOKEN_MS" --capacity 1000 --answer-tokens 2000
  watched+=(--watch "engine$n=$started")
  targets+=(--target "127.0.0.1:$((7800 + n))")
done
start key-value bamboodeck.fakes key-value --listen 127.0.0.1:7811
cp measurements/relay-entry.ini measurements/relay-controller.ini "$work"
start controller bamboodeck.controller --settings "$work/relay-controller.ini"
start entry bamboodeck.entry --settings "$work/relay-entry.ini"
entry="$started"
wait_for_port 7822
wait_for_port 7811
export BAMBOODECK_SERVER=127.0.0.1:7822 BAMBOODECK_KEY=admin-key-1
"$PYTHON" -m bamboodeck.admin config apply measurements/relay-configuration.ini \
  --expected-revision 0 --wait-s 10 >&2
sleep 1

# Each load process sends its share of the requests, with a seed of its own.
load() {
  local part="$1" n loads=() extra
  shift
  for n in $(seq "$LOADS"); do
    extra=()
    if [ "$n" = 1 ]; then extra=("${watched[@]}"); fi
    "$PYTHON" -m bamboodeck.bench relay-load --name "load$n" \
      --requests-per-s "$(awk "BEGIN { print $RATE / $LOADS }")" \
      --answer-tokens "$TOKENS" --token-ms "$TOKEN_MS" --end-s "$END_S" \
      --seed "$((SEED + n))" "${extra[@]}" "$@" >"$work/$part$n.json" &
    loads+=("$!")
    pids+=("$!")
  done
  for n in "${loads[@]}"; do wait "$n"; done
}

load direct "${targets[@]}"
watched+=(--watch "entry=$entry")
load relayed --target 127.0.0.1:7821 --key medena-key-2
reports=()
for n in $(seq "$LOADS"); do
  reports+=(--direct "$work/direct$n.json" --relayed "$work/relayed$n.json")
done
"$PYTHON" -m bamboodeck.bench relay "${reports[@]}" "$@"
