#!/usr/bin/env bash
# Builds the programs of the second review's scripts into review/build/2/. They
# need a compiler only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build/2
for source in [4-8]/case.cpp; do
  [ -e "$source" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "build/2/case-$(dirname "$source")"
done
