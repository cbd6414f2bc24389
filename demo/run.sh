#!/usr/bin/env bash
# The whole path on one machine: the platform's stand-in, two entries, and four
# targets with agents in four failure domains. Applies a release note, submits
# four sample jobs, resubmits one, takes a failure domain out, and stops
# everything gracefully. Exits 0 only if all was right.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/cluster.sh
start_cluster 2 4 heel-pitch,carve,retrieve-form,consent szeged,kecskemet,rabat-1,casablanca
say "Started the platform, 2 entries, 4 agents and 4 targets."

"$BIN/tarragonctl" note apply demo/first.ini >"$WORK/note" || fail "the first note: $(cat "$WORK/note")"
say "The first release note is accepted."
until_true 10 targets_ready 4 || fail "the targets did not announce themselves"

# submit NAME SERVICE TENANT PAYLOAD...: submits and expects a whole answer.
submit() {
  local name=$1 service=$2 tenant=$3
  shift 3
  local tasks=() payload
  for payload in "$@"; do tasks+=(--task "$payload"); done
  "$BIN/tarragonctl" --json submit --client "$CLIENTS" --service "$service" \
    --tenant "$tenant" --deadline 10s "${tasks[@]}" >"$WORK/$name.answer" ||
    fail "$name: $(cat "$WORK/$name.answer")"
  local payload_result
  for payload in "$@"; do
    payload_result=$(sed 's/.*"result":"\([^"]*\)".*/\1/' <<<"$payload")
    grep -q "$payload_result" "$WORK/$name.answer" || fail "$name lacks $payload_result"
  done
  say "$name: complete, $# of $# results."
}
until_true 10 "$BIN/tarragonctl" submit --client "$CLIENTS" --service heel-pitch \
  --tenant kaptafa --task '{"work_ms":1}' || fail "no permit"
submit lookup heel-pitch kaptafa '{"work_ms":60,"result":"heel-pitch 14 mm"}'
submit carving carve kaptafa '{"work_ms":300,"result":"last left"}' '{"work_ms":320,"result":"last right"}'
submit form retrieve-form agence '{"work_ms":80,"result":"form 4711"}'
submit consent consent agence '{"work_ms":100,"result":"consent 12"}'

KEY=$(grep -o '"key":"[^"]*"' "$WORK/carving.answer" | head -n 1 | cut -d'"' -f4)
"$BIN/tarragonctl" --json submit --client "$CLIENTS" --service carve --tenant kaptafa --key "$KEY" \
  --task '{"work_ms":300,"result":"last left"}' --task '{"work_ms":320,"result":"last right"}' \
  >"$WORK/again.answer" || fail "the resubmission: $(cat "$WORK/again.answer")"
starts=0
for i in 0 1 2 3; do
  n=$(curl -s "http://$(listening "target-$i")/witness" | { grep -o "\"key\":\"$KEY\"" || true; } | wc -l)
  starts=$((starts + n))
done
[ "$starts" -eq 2 ] || fail "the carving of 2 tasks was started $starts times"
say "The carving was submitted again: the same answer, 2 starts at the targets as before."
"$BIN/tarragonctl" explain "$KEY" >"$WORK/explain" || fail "explain: $(cat "$WORK/explain")"
grep -q "Ended as complete" "$WORK/explain" || fail "explain tells no end"

"$BIN/tarragonctl" note apply demo/withdraw.ini >"$WORK/note" || fail "the second note: $(cat "$WORK/note")"
say "The failure domain szeged is out of service."
sleep 3
before=$(curl -s "http://$(listening target-0)/witness" | { grep -o '"at_ms"' || true; } | wc -l)
for n in 1 2 3 4 5 6; do submit "lookup-$n" heel-pitch kaptafa '{"work_ms":50,"result":"ok"}'; done
after=$(curl -s "http://$(listening target-0)/witness" | { grep -o '"at_ms"' || true; } | wc -l)
[ "$before" -eq "$after" ] || fail "$((after - before)) tasks started in the withdrawn domain"
say "Six more jobs were answered; none started in szeged."

stop() {
  local pid
  eval "pid=\$PID_${1//-/_}"
  kill -TERM "$pid"
  wait "$pid" || fail "$1 ended with exit code $?"
}
for name in agent-0 agent-1 agent-2 agent-3 target-0 target-1 target-2 target-3 entry-0 entry-1 platform; do
  stop "$name"
done
PIDS=()
say "All processes stopped gracefully."
say "All was right."
