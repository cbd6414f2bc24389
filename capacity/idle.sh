#!/usr/bin/env bash
# Idle agents without targets against one and two entries and the platform's
# stand-in: prints what each process spends, one point a line, in the form that
# `tarragon-capacity --points` reads.
#   BIN=build/bin bash capacity/idle.sh [SECONDS]
set -euo pipefail
source "$(dirname "$0")/../scripts/cluster.sh"

SECONDS_MEASURED=${1:-10}
WARM_UP=8

# value PAGE METRIC: the sum over the labels of one metric.
value() {
  curl -sf "http://$1/metrics" |
    awk -v m="$2" '{ n = $1; sub(/\{.*/, "", n); if (n == "tarragon_" m) s += $NF } END { printf "%.6f", s }'
}

# sample METRIC PAGE...: the mean over the pages.
sample() {
  local metric=$1 page
  shift
  for page in "$@"; do value "$page" "$metric"; echo; done |
    awk '{ s += $1 } END { printf "%.6f", s / NR }'
}

# rate METRIC: change per second between the two samples.
rate() { awk -v a="$1" -v b="$2" -v t="$3" 'BEGIN { printf "%.6g", (b - a) / t }'; }

point() { printf '%s|%s|%s|%s|%s|%s|%s\n' "$@"; }

METRICS=(process_cpu_seconds socket_bytes_out_total socket_bytes_in_total
  messages_out_total table_reads_total)

# read_all ROLE PAGE...: the metrics of the role's processes into NOW.
read_all() {
  local metric
  NOW=()
  for metric in "${METRICS[@]}"; do NOW+=("$(sample "$metric" "$@")"); done
}

# report ROLE AGENTS PLANNED PAGE...: one line for each metric.
report() {
  local role=$1 agents=$2 planned=$3 units i
  units=("core" "bytes/s" "bytes/s" "messages/s" "reads/s")
  for i in "${!METRICS[@]}"; do
    point "$role" "${METRICS[i]} a second" agents "${units[i]}" "$planned" \
      "$agents" "$(rate "${BEFORE[i]}" "${AFTER[i]}" "$ELAPSED")"
  done
}

measure() {
  local entries=$1 agents=$2 pages entry_pages agent_pages begin end
  PIDS=()
  start_cluster "$entries" 0 none a,b
  local i
  for ((i = 0; i < agents; i++)); do
    start "agent-$i" "$BIN/tarragon-agent" --set agent.listen=127.0.0.1:0 \
      --set agent.target_listen=127.0.0.1:0 --set agent.pages_listen=127.0.0.1:0 \
      --set "agent.entries=$ENTRIES" --set agent.domain=a
    PAGES+=,$(field "agent-$i" pages)
  done
  IFS=, read -ra pages <<<"$PAGES"
  entry_pages=("${pages[@]:0:entries}")
  agent_pages=("${pages[@]:entries:5}")
  sleep "$WARM_UP"
  read_all "${entry_pages[@]}" && local entry_before=("${NOW[@]}")
  read_all "${agent_pages[@]}" && local agent_before=("${NOW[@]}")
  begin=$(date +%s.%N)
  sleep "$SECONDS_MEASURED"
  read_all "${entry_pages[@]}" && local entry_after=("${NOW[@]}")
  read_all "${agent_pages[@]}" && local agent_after=("${NOW[@]}")
  end=$(date +%s.%N)
  ELAPSED=$(awk -v a="$begin" -v b="$end" 'BEGIN { print b - a }')
  BEFORE=("${entry_before[@]}") AFTER=("${entry_after[@]}")
  report "entry (1 of $entries, idle)" "$agents" 19000
  point "entry (1 of $entries, idle)" process_resident_bytes agents bytes 19000 \
    "$agents" "$(sample process_resident_bytes "${entry_pages[@]}")"
  BEFORE=("${agent_before[@]}") AFTER=("${agent_after[@]}")
  report "agent (idle, $entries entries)" "$agents" 64
  point "agent (idle, $entries entries)" process_resident_bytes agents bytes 64 \
    "$agents" "$(sample process_resident_bytes "${agent_pages[@]}")"
  local pid
  for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -f "$WORK"/*
}

for agents in ${AGENTS:-10 25 50 100}; do measure "${ENTRY_COUNT:-2}" "$agents"; done
PIDS=()
