#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/, after the build of the deploy
# file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build target -j8 --target tillerhall_platform_standin tillerhall_platform
mkdir -p target/review
${CXX:-g++} -std=c++20 -O1 -g1 -DNDEBUG -DBOOST_ASIO_NO_DEPRECATED -DBOOST_ASIO_DISABLE_BOOST_COROUTINE \
  -Wall -Wextra -Wno-missing-field-initializers -Wno-restrict -Iinclude -Istandins -Iplatform \
  review/lab/*.cpp -o target/review/lab \
  -Ltarget -ltillerhall_platform_standin -ltillerhall_platform -ltillerhall -ltillerhall_rpc_codec \
  -ljsonrpccpp-client -ljsonrpccpp-server -ljsonrpccpp-common -ljsoncpp \
  -lboost_fiber -lboost_context -lboost_json -lyaml-cpp -llog4cplus -lz -lcrypto -pthread
