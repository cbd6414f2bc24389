#!/usr/bin/env bash
# Measures one policy against the ideal: 2 entries, 10 targets of 8 slots in 4
# failure domains. Usage: bench/run.sh OUT_PREFIX [SECTION.KEY=VALUE]...
# Variables: PRESET (kaptafa), LOADS ("0.5 0.7 0.85 0.95 1.2"), SECONDS_EACH (20),
# SEED (1), ENTRIES_COUNT (2).
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/cluster.sh
out=$1
shift
start_cluster "${ENTRIES_COUNT:-2}" 10 \
  heel-pitch,fit-check,carve,check-signature,retrieve-form,consent d1,d2,d3,d4 "$@"
"$BIN/tarragonctl" note apply bench/first.ini >"$WORK/note" || fail "the note: $(cat "$WORK/note")"
until_true 10 targets_ready 10 || fail "the targets did not announce themselves"
until_true 10 "$BIN/tarragonctl" submit --client "$CLIENTS" --service heel-pitch \
  --tenant warm-up --task '{"work_ms":1}' || fail "no permit"
sleep 3
for load in ${LOADS:-0.5 0.7 0.85 0.95 1.2}; do
  "$BIN/tarragon-bench" run --client "$CLIENTS" --preset "${PRESET:-kaptafa}" --load "$load" \
    --seconds "${SECONDS_EACH:-20}" --seed "${SEED:-1}" --metrics "$PAGES" \
    --json "$out-$load.json" || fail "load $load"
  sleep 2
done
