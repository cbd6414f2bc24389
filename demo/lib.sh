# Starts and stops the processes of the demonstration. Every port comes from the
# system; every process prints its addresses on one "ready" or "listening" line.

BIN=${BIN:-build/bin}
WORK=$(mktemp -d)
PIDS=()
STEP=0

say() { printf '%s\n' "$*"; }

fail() {
  say "FAILED: $*"
  for log in "$WORK"/*.log; do
    [ -s "$log" ] && { say "--- ${log##*/}"; tail -n 5 "$log"; }
  done
  exit 1
}

# start NAME PROGRAM ARGS...: runs a program; its first line of output is then
# in $WORK/NAME.out.
start() {
  local name=$1
  shift
  "$@" >"$WORK/$name.out" 2>"$WORK/$name.log" &
  PIDS+=("$!")
  eval "PID_${name//-/_}=$!"
  for _ in $(seq 200); do
    [ -s "$WORK/$name.out" ] && return 0
    sleep 0.05
  done
  fail "$name did not start"
}

# field NAME KEY: the value of KEY=VALUE on the first line of NAME.
field() { tr ' ' '\n' <"$WORK/$1.out" | sed -n "s/^$2=//p" | head -n 1; }

# listening NAME: the address on the line "listening ADDRESS".
listening() { sed -n 's/^listening //p' "$WORK/$1.out" | head -n 1; }

# until_true SECONDS COMMAND...: waits for the command to succeed.
until_true() {
  local tries=$(($1 * 10))
  shift
  for _ in $(seq "$tries"); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  return 1
}

stop_all() {
  for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$WORK"
}
trap stop_all EXIT
