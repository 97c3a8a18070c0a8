#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. The build of the deploy file comes
# first; its libraries are linked.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"${CXX:-c++}" -std=c++20 -O1 -DASIO_STANDALONE -DRESTINIO_USE_EXTERNAL_HTTP_PARSER \
  -I. -Iinclude -Ireview/standin-2 review/standin-2/driver.cc -o target/review-2/driver \
  target/libpistachiostand_manager.a target/libpistachiostand_net.a \
  target/libpistachiostand_core.a -lcurl -lspdlog -lfmt -lhttp_parser -lpthread
