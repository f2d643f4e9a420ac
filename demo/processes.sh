# Starts processes and ends them all at exit, also on interrupt; sourced.
# Gives: start NAME MODULE ARGS..., $work, $started (the last process id)

PYTHON="${PYTHON:-.venv/bin/python}"
work="$(mktemp -d)"
pids=()
started=0

cleanup() {
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ "${KEEP_LOGS:-}" ]; then
    echo "Logs are in $work" >&2
  else
    rm -rf "$work"
  fi
}
trap cleanup EXIT
trap 'exit 130' INT TERM

start() {
  local name="$1"
  shift
  "$PYTHON" -m "$@" >"$work/$name.log" 2>&1 &
  started="$!"
  pids+=("$started")
}
