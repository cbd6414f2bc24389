# Starts and stops a whole system on one machine, for the demonstration and the
# measurements. Every port comes from the operating system; every process prints
# its addresses on one "ready" or "listening" line.

BIN=${BIN:-build/bin}
export TARRAGON_TOKEN=${TARRAGON_TOKEN:-local-token}
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

# start_cluster ENTRIES TARGETS SERVICES DOMAIN,... [SECTION.KEY=VALUE]...: the
# platform's stand-in, entries, and agents with targets of 8 slots, spread over
# the domains in turn. The settings go to entries and agents alike.
start_cluster() {
  local entries=$1 targets=$2 services=$3 i sets=() setting
  IFS=, read -ra DOMAINS <<<"$4"
  shift 4
  for setting in "$@"; do sets+=(--set "$setting"); done
  start platform "$BIN/platform_standin" --listen 127.0.0.1:0
  ENTRIES='' CLIENTS='' PAGES=''
  for ((i = 0; i < entries; i++)); do
    start "entry-$i" "$BIN/tarragon-entry" --set entry.listen=127.0.0.1:0 \
      --set clients.listen=127.0.0.1:0 --set operators.listen=127.0.0.1:0 \
      --set "entry.domain=${DOMAINS[i % ${#DOMAINS[@]}]}" \
      --set operators.token=env:TARRAGON_TOKEN \
      --set "platform.table=$(listening platform)" "${sets[@]}"
    ENTRIES+=,$(field "entry-$i" node | cut -d'~' -f1)
    CLIENTS+=,$(field "entry-$i" clients)
    PAGES+=,$(field "entry-$i" operators)
  done
  ENTRIES=${ENTRIES#,} CLIENTS=${CLIENTS#,} PAGES=${PAGES#,}
  export TARRAGON_OPERATORS=${PAGES%%,*}
  for ((i = 0; i < targets; i++)); do
    start "agent-$i" "$BIN/tarragon-agent" --set agent.listen=127.0.0.1:0 \
      --set agent.target_listen=127.0.0.1:0 --set agent.pages_listen=127.0.0.1:0 \
      --set "agent.entries=$ENTRIES" \
      --set "agent.domain=${DOMAINS[i % ${#DOMAINS[@]}]}" "${sets[@]}"
    start "target-$i" "$BIN/target_standin" --listen 127.0.0.1:0 \
      --agent "$(field "agent-$i" target)" --services "$services" --slots 8 \
      --cores 16 --memory-mb 65536
    PAGES+=,$(field "agent-$i" pages)
  done
}

# targets_ready N: N targets have announced themselves.
targets_ready() {
  [ "$("$BIN/tarragonctl" --json state | { grep -o '"slots":8' || true; } | wc -l)" -eq "$1" ]
}

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
