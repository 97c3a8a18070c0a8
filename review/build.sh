#!/usr/bin/env bash
# Builds the test programs of all cases into target/review/, from the libraries that the build
# command of the deploy file leaves in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/case.cc; do
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-maybe-uninitialized -I include -I src -I . "$source" \
    target/libpistachiostand_manager.a target/libpistachiostand_net.a \
    target/libpistachiostand_core.a \
    -lcurl -lhttp_parser -lspdlog -lfmt -lpthread -o "target/review/case-$name"
done
