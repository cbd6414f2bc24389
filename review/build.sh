#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases into target/review/. Run it after
# the build of deploy/system.toml, whose libraries it links.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
includes=(-Icore/include -Ihttp/include -Itests/soak -Ireview/standins)
sources=(review/standins/*.cpp tests/soak/fake_store.cc)
objects=()
pids=()
for source in "${sources[@]}"; do
  object="$out/$(basename "${source%.*}").o"
  objects+=("$object")
  g++ -std=c++20 -O1 -Wall -Wextra "${includes[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
g++ -o "$out/review_case" "${objects[@]}" target/http/libtarragon_http.a \
  target/core/libtarragon_core.a target/core/libtarragon_easylogging.a \
  -lboost_json -lpthread
