#!/usr/bin/env bash
# Builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -G Ninja -B build >build-configure.log 2>&1 || { cat build-configure.log; exit 1; }
mv build-configure.log build/configure.log
ninja -C build --quiet
