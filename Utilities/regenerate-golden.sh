#!/usr/bin/env bash
# Writes the golden sessions anew; read the difference before committing it.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/build.sh
AMARANTHHOIST_REGENERATE=1 build/unit-tests -g Golden
git diff --stat -- Tests/Golden
