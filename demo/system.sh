# Functions that start the stand-ins and the nodes; sourced by run.sh and others.
# Uses: start NAME MODULE ARGS..., $work, $PYTHON; $BASE moves all ports and
# $ANSWER_TOKENS is the typical length of an answer.

BASE="${BASE:-7000}"
ANSWER_TOKENS="${ANSWER_TOKENS:-64}"
ZONES=(flanders-a wallonia-a brussels-a)
REGIONS=(flanders wallonia brussels)
ENTRY_ADMIN_PORTS="$(seq -s ' ' $((BASE + 301)) $((BASE + 306)))"
PEER_SECRET=6465766d6f2d7365637265742d6f662d746865706565727330313233343536
BOOTSTRAP=81d5958ea2799a62716f71aa7e3c2f275f31e9d8a1908e785838a10b00fbaa4c

at() { echo "127.0.0.1:$((BASE + $1))"; }

# Copies a document whose ports count from 7000 to where $BASE puts them.
move_ports() { # from to
  local line
  while IFS= read -r line || [ "$line" ]; do
    if [[ "$line" =~ ^(.*)127\.0\.0\.1:(7[0-9][0-9][0-9])$ ]]; then
      line="${BASH_REMATCH[1]}$(at $((BASH_REMATCH[2] - 7000)))"
    fi
    printf '%s\n' "$line"
  done <"$1" >"$2"
}

wait_for() {
  for _ in $(seq 1 200); do
    "$PYTHON" - "$1" <<'PROBE' 2>/dev/null && return 0
import sys, urllib.request
urllib.request.urlopen(sys.argv[1], timeout=1)
PROBE
    sleep 0.1
  done
  echo "No answer from $1; the logs follow."
  tail -n 5 "$work"/*.log
  return 1
}

start_engine() { # name port versions first-token-ms token-ms capacity
  start "$1" bamboodeck.fakes engine --name "$1" --listen "$(at "$2")" \
    --versions "$3" --first-token-ms "$4" --token-ms "$5" --capacity "$6" \
    --answer-tokens "$ANSWER_TOKENS"
}

start_stand_ins() {
  move_ports demo/hosts.ini "$work/hosts.ini"
  start key-value bamboodeck.fakes key-value --listen "$(at 101)"
  start rating bamboodeck.fakes rating --listen "$(at 201)"
  start hosts bamboodeck.fakes host-list --listen "$(at 202)" \
    --hosts "$work/hosts.ini"
  start weights bamboodeck.fakes weights --listen "$(at 203)"
  start orders bamboodeck.fakes orders --listen "$(at 501)" \
    --journal "$work/orders.journal"
  for i in 0 1 2; do
    local zone="${REGIONS[$i]}"
    start_engine "$zone-1" "$((401 + 2 * i))" small@1,small@2 40 5 16
    start_engine "$zone-2" "$((402 + 2 * i))" \
      small@1,medium@1,large@1,large@2 80 12 8
  done
  start balancer bamboodeck.fakes balancer --listen "$(at 0)" \
    --control "$(at 99)" \
    --target "$(at 1)" --target "$(at 2)" --target "$(at 3)" \
    --target "$(at 4)" --target "$(at 5)" --target "$(at 6)"
}

# Tell where a zone reaches the platform and its peers; proof.sh has links.
platform_port() { echo "$2"; } # zone-index port
peer_port() { echo "$3"; } # from-zone-index to-zone-index port

# Writes the peers that node $1 of zone number $2 knows: all but itself.
write_peers() {
  echo "[peers]"
  local n i
  for n in 1 2 3 4 5 6; do
    i=$(((n - 1) / 2))
    [ "host$n.entry" = "$1" ] || echo "host$n.entry = ${ZONES[$i]}" \
      "$(at "$(peer_port "$2" "$i" $((310 + n)))") entry"
    [ "host$n.controller" = "$1" ] || echo "host$n.controller = ${ZONES[$i]}" \
      "$(at "$(peer_port "$2" "$i" $((320 + n)))") controller"
  done
}

write_common() { # node zone-index
  cat <<INI
[process]
node = $1
region = ${REGIONS[$2]}
zone = ${ZONES[$2]}
peer_secret_hex = $PEER_SECRET
INI
}

write_platform() { # zone-index
  cat <<INI
[platform]
key_value = $(at "$(platform_port "$1" 101)")
rating = $(at "$(platform_port "$1" 201)")
host_list = $(at "$(platform_port "$1" 202)")
INI
}

write_entry_settings() { # number
  local i=$((($1 - 1) / 2))
  write_common "host$1.entry" "$i"
  cat <<INI
bootstrap_key_sha256 = $BOOTSTRAP

[listen]
callers = $(at "$1")
admin = $(at $((300 + $1)))
peers = $(at $((310 + $1)))

INI
  write_platform "$i"
  echo
  write_peers "host$1.entry" "$i"
}

write_controller_settings() { # number
  local i=$((($1 - 1) / 2))
  write_common "host$1.controller" "$i"
  cat <<INI

[listen]
health = $(at $((330 + $1)))
peers = $(at $((320 + $1)))

INI
  write_platform "$i"
  echo "weight_store = $(at "$(platform_port "$i" 203)")"
  echo
  write_peers "host$1.controller" "$i"
}

start_node() { # number
  write_entry_settings "$1" >"$work/entry$1.ini"
  write_controller_settings "$1" >"$work/controller$1.ini"
  start "host$1.controller" bamboodeck.controller \
    --settings "$work/controller$1.ini"
  start "host$1.entry" bamboodeck.entry --settings "$work/entry$1.ini"
}

start_nodes() {
  for n in 1 2 3 4 5 6; do start_node "$n"; done
}

wait_for_nodes() {
  local port
  for port in $ENTRY_ADMIN_PORTS; do
    wait_for "http://127.0.0.1:$port/health"
  done
}
