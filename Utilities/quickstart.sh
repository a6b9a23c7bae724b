#!/usr/bin/env bash
# Installs packages, builds, starts both deployments against stand-ins, runs
# callers, applies a contract, drains a site under load, and checks the outcome.
#
#   Utilities/quickstart.sh [--no-install] [--small] [--seconds N]
#                           [--deployment mandap|jegyzet] [--keep-logs]
set -euo pipefail
cd "$(dirname "$0")/.."

install=1 small=0 seconds=20 deployments="mandap jegyzet" keep=0
while [ $# -gt 0 ]; do
  case $1 in
    --no-install) install=0 ;;
    --small) small=1 ;;
    --keep-logs) keep=1 ;;
    --seconds) seconds=$2; shift ;;
    --deployment) deployments=$2; shift ;;
    *) echo "usage: $0 [--no-install] [--small] [--seconds N]" \
            "[--deployment mandap|jegyzet] [--keep-logs]" >&2; exit 2 ;;
  esac
  shift
done

[ $install = 0 ] || Utilities/install-packages.sh
Utilities/build.sh
bin=$PWD/build
work=$(mktemp -d)
. Utilities/deployment.sh

finish() {
  end_deployment
  [ $keep = 1 ] && echo "logs kept in $work" || rm -rf "$work"
}
trap finish EXIT
trap "exit 1" INT TERM

drain_first_site() {
  local drained=${sites[0]} begin i
  begin=$(date +%s%N)
  $cli drain start site "$drained" --force
  for ((i = 0; i < 600; ++i)); do
    $cli drain status --output json >"$work/drain.json"
    grep -q '"drained": true' "$work/drain.json" && break
    sleep 0.1
  done
  grep -q '"drained": true' "$work/drain.json" || { echo "the drain did not complete"; return 1; }
  echo "site $drained drained in $((($(date +%s%N) - begin) / 1000000)) ms"
  $cli site status
  $cli drain cancel site "$drained"
}

exercise() {
  local failed=0
  start_callers "$seconds"
  sleep $((seconds / 4))
  printf '{"customer":"customer-0","requests_per_second":2500,"concurrency":600,"priority":5,"weight":2}' >"$work/contract.json"
  $cli contract apply "$work/contract.json" --wait || failed=1
  drain_first_site || failed=1
  wait $callers || failed=1
  cat "$work/$name-report.txt"
  check_peaks || failed=1
  return $failed
}

status=0
for deployment in $deployments; do
  echo "== $deployment"
  deploy "$deployment"
  $cli site status
  exercise || status=1
  end_deployment
done
[ $status = 0 ] && echo "quickstart: all checks passed" || echo "quickstart: FAILED"
exit $status
