#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/, after the build of
# the deploy file, with the libraries that this build has left in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Ihttp/include -Icore/include)
objects=()
for source in review/standins-3/{store,runner,world}.cc tests/soak/relay.cc; do
  object="$out/$(basename "$source" .cc).o"
  g++ "${flags[@]}" -Ireview/standins-3 -c "$source" -o "$object" &
  objects+=("$object")
done
programs=(unhealthy_runners long_cut foreign_beat moved_store)
for program in "${programs[@]}"; do
  g++ "${flags[@]}" -Ireview/standins-3 -c "review/standins-3/$program.cc" -o "$out/$program.o" &
done
for job in $(jobs -p); do wait "$job"; done
for program in "${programs[@]}"; do
  g++ "$out/$program.o" "${objects[@]}" target/http/libtarragon_http.a \
    target/core/libtarragon_core.a target/core/libtarragon_easylogging.a \
    -lboost_json -lpthread -o "$out/$program"
done
