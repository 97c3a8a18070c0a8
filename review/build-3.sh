#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/. The build of the deploy file comes
# first; its libraries are linked.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
"${CXX:-c++}" -std=c++20 -O1 -DASIO_STANDALONE -DRESTINIO_USE_EXTERNAL_HTTP_PARSER \
  -I. -Iinclude -Ireview/standin-3 review/standin-3/review_case.cc -o target/review-3/review-case \
  target/libpistachiostand_manager.a target/libpistachiostand_net.a \
  target/libpistachiostand_core.a -lcurl -lspdlog -lfmt -lhttp_parser -lpthread
