#!/usr/bin/env bash
# Runs the long randomised run over real processes: starts the whole system,
# starts each process anew when it dies, and ends all, also on interrupt.
# Usage: demo/proof.sh SEED DURATION_S
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHON="${PYTHON:-.venv/bin/python}"
SEED="${1:-1}"
DURATION_S="${2:-60}"
ANSWER_TOKENS=160
CHECK_PERIOD_S=0.3
STOP_WAIT_S=15
work="$(mktemp -d)"
mkdir "$work/pids" "$work/arguments"
declare -A name_of=()

cleanup() {
  trap - EXIT INT TERM
  local pid left="" until_s=$((SECONDS + STOP_WAIT_S))
  for pid in "${!name_of[@]}" ${bench:-}; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -TERM "$pid" 2>/dev/null || true
  done
  while [ "$SECONDS" -lt "$until_s" ]; do
    left=""
    for pid in "${!name_of[@]}" ${bench:-}; do
      kill -0 "$pid" 2>/dev/null && left="$left $pid"
    done
    [ "$left" ] || break
    sleep 0.1
  done
  for pid in $left; do kill -KILL "$pid" 2>/dev/null || true; done
  wait || true
  if [ "${KEEP_LOGS:-}" ]; then
    echo "Logs are in $work"
  else
    rm -rf "$work"
  fi
}
trap cleanup EXIT
trap 'exit 130' INT TERM

launch() { # name
  local arguments
  mapfile -t arguments <"$work/arguments/$1"
  "$PYTHON" -m "${arguments[@]}" >>"$work/$1.log" 2>&1 &
  name_of[$!]="$1"
  # Without it, bash would tell of each process that is killed.
  disown "$!"
  # A rename, so that the bench never reads half an id.
  echo "$!" >"$work/pids/.$1"
  mv "$work/pids/.$1" "$work/pids/$1"
}

start() { # name module args..
  printf '%s\n' "${@:2}" >"$work/arguments/$1"
  launch "$1"
}

is_free() { # first-port
  local port
  for port in 0 1 98 99 101 301 401 501; do
    if (exec 3<>"/dev/tcp/127.0.0.1/$(($1 + port))") 2>/dev/null; then
      return 1
    fi
  done
}

choose_ports() {
  local first
  for first in ${BASE:-17000 18000 19000 16000}; do
    BASE="$first"
    # Held as long as any process of this run lives.
    exec 9>"${TMPDIR:-/tmp}/bamboodeck-proof-$first.lock"
    if flock --nonblock 9 && is_free "$first"; then return; fi
  done
  echo "Ports from $BASE on are taken: another run or program listens there." \
    "End it, or choose other ports with BASE=15000." >&2
  exit 5
}

choose_ports
. demo/system.sh

# Each zone reaches the platform, and the nodes of another zone, over a link.
platform_port() { # zone-index port
  case "$2" in
    101) echo $((600 + 10 * $1 + 1)) ;;
    201) echo $((600 + 10 * $1 + 2)) ;;
    202) echo $((600 + 10 * $1 + 3)) ;;
    203) echo $((600 + 10 * $1 + 4)) ;;
  esac
}

peer_port() { # from-zone-index to-zone-index port
  if [ "$1" = "$2" ]; then echo "$3"; else
    echo $((700 + 40 * $1 + $3 - 300)); fi
}

start_links() {
  local routes=() i j n kind port name
  for i in 0 1 2; do
    for port in 101 201 202 203; do
      routes+=(--route "${ZONES[$i]}.platform:$(at \
        "$(platform_port "$i" "$port")")=$(at "$port")")
    done
    for n in 1 2 3 4 5 6; do
      j=$(((n - 1) / 2))
      [ "$i" = "$j" ] && continue
      name="${ZONES[$((i < j ? i : j))]}.${ZONES[$((i < j ? j : i))]}"
      for port in $((310 + n)) $((320 + n)); do
        routes+=(--route "$name:$(at "$(peer_port "$i" "$j" "$port")")=$(at \
          "$port")")
      done
    done
  done
  start links bamboodeck.fakes links --control "$(at 98)" "${routes[@]}"
}

write_layout() {
  local n i
  cat <<INI
[stand-ins]
balancer = $(at 99)
key-value = $(at 101)
rating = $(at 201)
hosts = $(at 202)
orders = $(at 501)
links = $(at 98)

[callers]
balancer = $(at 0)

[engines]
INI
  for i in 0 1 2; do
    echo "${REGIONS[$i]}-1 = $(at $((401 + 2 * i)))"
    echo "${REGIONS[$i]}-2 = $(at $((402 + 2 * i)))"
  done
  for n in 1 2 3 4 5 6; do
    cat <<INI

[host host$n]
zone = ${ZONES[$(((n - 1) / 2))]}
callers = $(at "$n")
admin = $(at $((300 + n)))
health = $(at $((330 + n)))
INI
  done
}

# Starts each process anew that ended, until the bench ends.
watch_over() {
  local pid name
  while kill -0 "$bench" 2>/dev/null; do
    for pid in "${!name_of[@]}"; do
      kill -0 "$pid" 2>/dev/null && continue
      name="${name_of[$pid]}"
      unset "name_of[$pid]"
      launch "$name"
    done
    sleep "$CHECK_PERIOD_S"
  done
  wait "$bench"
}

write_layout >"$work/layout.ini"
move_ports bamboodeck/configuration/example.ini "$work/fleet.ini"
start_stand_ins
start_links
start_nodes
wait_for_nodes
BAMBOODECK_SERVER="$(at 301)" BAMBOODECK_KEY=admin-key-1 \
  "$PYTHON" -m bamboodeck.admin config apply "$work/fleet.ini" \
  --expected-revision 0 >"$work/apply.log" || true
wait_for "http://$(at 0)/ready"

"$PYTHON" -m bamboodeck.bench soak --seed "$SEED" --duration-s "$DURATION_S" \
  --system "$work" ${JSON:+--json} &
bench=$!
status=0
watch_over || status=$?
exit "$status"
