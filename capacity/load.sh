#!/usr/bin/env bash
# A small system under load: 2 entries, 10 targets of 8 slots, one home. Prints
# what each role spends against the task starts a second, one point a line, in
# the form that `tarragon-capacity --points` reads.
#   BIN=build/bin bash capacity/load.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/cluster.sh

SECONDS_LOADED=${1:-8}
SETTLE=3
AGENTS=10
SERVICES=${SERVICES:-heel-pitch,fit-check,carve,check-signature,retrieve-form,consent}

# value PAGE METRIC: the sum over the labels of one metric.
value() {
  awk -v m="tarragon_$2" '{ n = $1; sub(/\{.*/, "", n); if (n == m) s += $NF }
    END { printf "%.6f\n", s }' <<<"$1"
}

METRICS=(process_cpu_seconds socket_bytes_out_total socket_bytes_in_total
  messages_out_total starts_total placements_total)

# sample FILE: one line for each process, its metrics in the order above.
sample() {
  local page text metric
  for page in "${ALL[@]}"; do
    text=$(curl -sf "http://$page/metrics")
    for metric in "${METRICS[@]}"; do value "$text" "$metric"; done | paste -sd' '
  done >"$1"
}

# points BEFORE AFTER SECONDS: the first 2 lines are entries; of the agents the
# one with most placements is the home.
points() {
  paste -d' ' "$1" "$2" | awk -v t="$3" '
    { for (i = 1; i <= 6; i++) d[NR, i] = ($(i + 6) - $i) / t
      if (NR > 2) { starts += d[NR, 5]; if (d[NR, 6] > most) { most = d[NR, 6]; home = NR } } }
    function say(role, cost, unit, planned, x, y) {
      printf "%s|%s|starts a second|%s|%s|%.6g|%.6g\n", role, cost, unit, planned, x, y }
    END {
      split("processor time|bytes out a second|bytes in a second|messages out a second", name, "|")
      split("core|bytes/s|bytes/s|messages/s", unit, "|")
      for (i = 1; i <= 4; i++) {
        say("entry (real, both)", name[i], unit[i], 40000, starts, d[1, i] + d[2, i])
        say("home (real, runs tasks too)", name[i], unit[i], 1619, starts, d[home, i])
        sum = 0
        for (n = 3; n <= NR; n++) if (n != home) sum += d[n, i]
        own = (starts - d[home, 5]) / (NR - 3)
        say("executor (real)", name[i], unit[i], 50.5, own, sum / (NR - 3))
      } }'
}

start_cluster 2 "$AGENTS" "$SERVICES" d1,d2,d3,d4
IFS=, read -ra ALL <<<"$PAGES"
"$BIN/tarragonctl" note apply "${NOTE:-bench/first.ini}" >"$WORK/note" || fail "note: $(cat "$WORK/note")"
until_true 20 targets_ready "$AGENTS" || fail "the targets did not announce themselves"
sleep "$SETTLE"
for load in ${LOADS:-0.1 0.2 0.4 0.6}; do
  sample "$WORK/before"
  begin=$(date +%s.%N)
  "$BIN/tarragon-bench" run --client "$CLIENTS" --preset kaptafa --load "$load" \
    --seconds "$SECONDS_LOADED" >"$WORK/bench" || fail "bench: $(tail -n 5 "$WORK/bench")"
  sample "$WORK/after"
  end=$(date +%s.%N)
  points "$WORK/before" "$WORK/after" "$(awk -v a="$begin" -v b="$end" 'BEGIN { print b - a }')"
done
