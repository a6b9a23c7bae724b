#!/usr/bin/env bash
# Regenerates the golden sessions. Review the difference before committing it.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/build.sh
AMARANTHHOIST_REGENERATE=1 build/unit-tests -g Golden
git diff --stat -- Tests/Golden
