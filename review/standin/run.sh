#!/usr/bin/env bash
# Runs the test program of one case: run.sh CASE RECORD. The program appends to the file RECORD. The exit
# code is that of the program, or 2 if it could not run.
set -uo pipefail
name=$1
record=$2
cd "$(dirname "$0")/../.." || exit 2
temporary=$(mktemp -d) || exit 2
cleanup() {
  [ -s "$temporary/pids" ] && xargs kill -KILL <"$temporary/pids" 2>/dev/null
  rm -rf "$temporary"
}
trap cleanup EXIT
program=target/review/case-$name
if [ ! -x "$program" ] || [ ! -x target/pistachiostand-entry ]; then
  echo "build first: the build command of the deploy file, then review/build.sh" | tee -a "$record" >&2
  exit 2
fi
timeout --kill-after=5 112 "$program" "$temporary" "$record" target/pistachiostand-entry
code=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$temporary"/*.log "$KEEP_LOGS"/
[ "$code" -le 2 ] || code=2
exit "$code"
