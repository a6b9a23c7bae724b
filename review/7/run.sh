#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
[ -x ../build/2/case-7 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
REPOSITORY=$(cd ../.. && pwd) exec timeout -k 5 115 ../build/2/case-7 record.txt
