#!/usr/bin/env bash
# Checks formatting and lint of all code except generated code.
#   Utilities/check-style.sh [--fix]
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files '*.cpp' '*.h' | grep -v '\.capnp\.')
if [ "${1:-}" = --fix ]; then
  clang-format -i "${files[@]}"
else
  clang-format --dry-run --Werror "${files[@]}"
fi
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cpp$')
printf '%s\0' "${sources[@]}" |
  xargs -0 -n 2 -P "$(nproc)" clang-tidy -p build --quiet 2>/dev/null >build/lint.log ||
  { grep -E 'error:|warning:' build/lint.log | sort -u; exit 1; }
echo "format and lint: clean"
