#!/usr/bin/env bash
# Runs the test program of one case: run.sh CASE-FOLDER. Its exit code is that of the program.
set -uo pipefail
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
name=$(basename "$folder")
temporary=$(mktemp -d) || exit 2
cleanup() {
  [ -s "$temporary/pids" ] && xargs kill -KILL <"$temporary/pids" 2>/dev/null
  rm -rf "$temporary"
}
trap cleanup EXIT
program=target/review/case-$name
if [ ! -x "$program" ] || [ ! -x target/pistachiostand-entry ]; then
  echo "build first: the build command of the deploy file, then review/build.sh" >&2
  exit 2
fi
timeout --kill-after=5 118 "$program" "$temporary" "$folder/record.txt" target/pistachiostand-entry
code=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$temporary"/*.log "$KEEP_LOGS"/
[ "$code" -le 2 ] || code=2
exit "$code"
