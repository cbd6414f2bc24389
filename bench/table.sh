#!/usr/bin/env bash
# Prints the measures of the policy and of the baseline, which is this project's
# own plain variant: random placement, no late binding, no ejection. First in
# virtual time, with and without faults; then with real processes at two loads.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=${BIN:-build/bin}
export BIN
plain=(--set random_placement=true --set late_binding=false --set ejection=false
  --set min_homes=10)
for preset in kaptafa agence; do
  echo "== $preset, policy"
  "$BIN/tarragon-simulate" --brief --preset "$preset"
  echo "== $preset, baseline"
  "$BIN/tarragon-simulate" --brief --preset "$preset" "${plain[@]}"
done
for fault in domain-out target-fails target-lingers target-dies; do
  echo "== kaptafa, $fault from 10 s to 20 s, policy"
  "$BIN/tarragon-simulate" --brief --seconds 40 --loads 0.7,0.85,1.2 --fault "$fault"
  echo "== kaptafa, $fault from 10 s to 20 s, baseline"
  "$BIN/tarragon-simulate" --brief --seconds 40 --loads 0.7,0.85,1.2 --fault "$fault" "${plain[@]}"
done
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for preset in kaptafa agence; do
  echo "== $preset, policy, real processes"
  PRESET=$preset LOADS="0.7 0.85" SECONDS_EACH=15 bash bench/run.sh "$out/policy"
  echo "== $preset, baseline, real processes"
  PRESET=$preset LOADS="0.7 0.85" SECONDS_EACH=15 bash bench/run.sh "$out/plain" \
    policy.random_placement=true policy.late_binding=false policy.ejection=false \
    policy.min_homes=10
done
