#!/usr/bin/env bash
# Builds the stand-ins that the review's scripts start, into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for CASE in [0-9]*/case.cpp; do
  NUMBER=$(dirname "$CASE")
  ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -o "build/case-$NUMBER" "$CASE" &
  PIDS="${PIDS:-} $!"
done
${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread \
  -o build/freed-connection extra/freed_connection.cpp &
PIDS="${PIDS:-} $!"
for PID in ${PIDS:-}; do wait "$PID"; done
