#!/usr/bin/env bash
# Runs clang-tidy over all sources; exits 0 only if there is no finding.
# Most of the time goes into the headers. So up to four files of a target are read
# as one; those that cannot be, because their local names collide, one by one.
set -euo pipefail
cd "$(dirname "$0")/.."
JOBS=$(nproc)

configure() {
  cmake -S . -B "$1" -G Ninja -DCMAKE_BUILD_TYPE=Debug -DTARRAGON_PCH=OFF "${@:2}" >/dev/null
}

# Files that a source of several files includes, one a line.
parts() {
  sed -n 's/^#include "\([^"]*\)".*/\1/p' "$1"
}

lint_single() {
  clang-tidy --quiet -p build-lint "$1" 2>&1 | grep -v ' warnings\? generated\.$' || true
  return "${PIPESTATUS[0]}"
}

lint_group() {
  local text
  text=$(clang-tidy --quiet -p build-lint-groups "$1" 2>/dev/null) && return 0
  local part code=0
  for part in $(parts "$1"); do
    lint_single "$part" || code=1
  done
  # What only the group shows is a finding as well, unless it cannot be compiled.
  if [ "$code" -eq 0 ] && ! grep -q 'clang-diagnostic-error' <<<"$text"; then
    echo "$text"
    code=1
  fi
  return "$code"
}

configure build-lint
configure build-lint-groups -DCMAKE_UNITY_BUILD=ON -DCMAKE_UNITY_BUILD_BATCH_SIZE=4
groups=$(find build-lint-groups -path '*/Unity/*.cxx' | sort)
# The linter warns of sources that are included.
sed -i 's|^\(#include "[^"]*"\)$|\1  // NOLINT(bugprone-suspicious-include)|' $groups
sources=$(git ls-files --cached --others --exclude-standard '*.cc' | grep -v '\.pb\.cc$')
singles=$(for source in $sources; do
  grep -qF "/$source\"" $groups || echo "$source"
done)

export -f lint_single lint_group parts
# The largest groups are at the end of the list; begin with them.
code=0
tac <<<"$groups" | xargs -P "$JOBS" -I {} bash -c 'lint_group "$1"' _ {} || code=1
[ -z "$singles" ] || xargs -P "$JOBS" -I {} bash -c 'lint_single "$1"' _ {} <<<"$singles" || code=1
exit "$code"
