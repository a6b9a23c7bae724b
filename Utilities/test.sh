#!/usr/bin/env bash
# Installs what is missing (unless --no-install), builds and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
[ "${1:-}" = --no-install ] || Utilities/install-packages.sh
Utilities/build.sh
ctest --test-dir build --output-on-failure
