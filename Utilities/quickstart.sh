#!/usr/bin/env bash
# Installs, builds, starts both deployments against stand-ins, runs callers,
# applies a contract, drains a site under load, checks the outcome.
#
#   Utilities/quickstart.sh [--no-install] [--small] [--seconds N]
#                           [--deployment mandap|jegyzet]
set -euo pipefail
cd "$(dirname "$0")/.."

install=1 small=0 seconds=20 deployments="mandap jegyzet"
while [ $# -gt 0 ]; do
  case $1 in
    --no-install) install=0 ;;
    --small) small=1 ;;
    --seconds) seconds=$2; shift ;;
    --deployment) deployments=$2; shift ;;
    *) echo "usage: $0 [--no-install] [--small] [--seconds N]" \
            "[--deployment mandap|jegyzet]" >&2; exit 2 ;;
  esac
  shift
done

[ $install = 0 ] || Utilities/install-packages.sh
Utilities/build.sh
bin=$PWD/build
work=$(mktemp -d)
pids=()

# Ends only what this script started, by id.
finish() {
  for pid in "${pids[@]:-}"; do [ -z "$pid" ] || kill "$pid" 2>/dev/null || true; done
  sleep 0.2
  for pid in "${pids[@]:-}"; do [ -z "$pid" ] || kill -9 "$pid" 2>/dev/null || true; done
  [ -n "${KEEP:-}" ] && echo "logs kept in $work" || rm -rf "$work"
}
trap finish EXIT

start() { # start LOGNAME PROGRAM ARGUMENTS...
  local log=$work/$1.log; shift
  "$@" >"$log" 2>&1 &
  pids+=($!)
}

# The deployments: ports, regions, services as
# name:targets:slots:connections:work_ms:slot_mw:probe.
describe() {
  case $1 in
    mandap)
      base=12000 regions=(bagmati gandaki lumbini) instances=10
      services=(enquiry-desk:25:6:330:5:10000:1 pack-store:12:3:330:5:20000:1) ;;
    jegyzet)
      base=16000 regions=(budapest munchen wien) instances=10
      services=(kernel-hub:30:3:400:8:15000:0 file-vault:12:3:400:5:20000:0) ;;
  esac
  [ $small = 0 ] || instances=6
}

deploy() {
  local name=$1; describe "$name"
  local platform=127.0.0.1:$base port=$((base + 1000)) n=0
  start "$name-platform" "$bin/platform-stand-in" $platform
  sites=() backends=() entries=() controls=()
  for region in "${regions[@]}"; do sites+=("$region-a" "$region-b"); done

  # Backend stand-ins: one process a site, so that the site counts its draw.
  declare -A arguments=()
  mkdir -p "$work/$name"
  for service in "${services[@]}"; do
    IFS=: read -r kind count slots connections work_ms mw probe <<<"$service"
    [ $small = 0 ] || count=$((count / 2))
    for ((i = 0; i < count; ++i)); do
      local site=${sites[$((i % 6))]} target=$kind-$i
      arguments[$site]+=" $target,127.0.0.1:$port,$slots,$connections,$work_ms,$mw,$probe"
      backends+=("127.0.0.1:$port")
      printf '{"name":"%s","site":"%s","service":"%s","address":"127.0.0.1:%d","slots":%d}' \
        "$target" "$site" "$kind" $port "$slots" >"$work/$name/target-$target.json"
      port=$((port + 1))
    done
  done
  for site in "${sites[@]}"; do
    # shellcheck disable=SC2086
    start "$name-backends-$site" "$bin/backend-stand-in" ${arguments[$site]}
  done

  for ((n = 0; n < instances; ++n)); do controls+=("127.0.0.1:$((base + 300 + n))"); done
  local seeds; seeds=$(IFS=,; echo "${controls[*]:0:3}")
  for ((n = 0; n < instances; ++n)); do
    local region=${regions[$((n % 3))]} half=a probe_path=
    [ $((n / 3 % 2)) = 0 ] || half=b
    [ "$name" = jegyzet ] || probe_path=/health
    entries+=("127.0.0.1:$((base + 100 + n))")
    cat >"$work/$name/instance-$n.yaml" <<YAML
instance: $region-$n
region: $region
failure_domain: $region-$half
link_ms: {$(for r in "${regions[@]}"; do [ "$r" = "$region" ] && printf '%s: 1, ' "$r" || printf '%s: 35, ' "$r"; done)}
entry:
  listen: 127.0.0.1:$((base + 100 + n))
  lookup_ttl_ms: 2000
gateway:
  listen: 127.0.0.1:$((base + 200 + n))
  sites: [$region-a, $region-b]
  probe_path: "$probe_path"
control:
  listen: 127.0.0.1:$((base + 300 + n))
  platform: http://$platform
  seeds: [$seeds]
YAML
    "$bin/amaranthhoist" settings check "$work/$name/instance-$n.yaml" >/dev/null
    for daemon in control gateway entry; do
      start "$name-$daemon-$n" "$bin/amaranthhoist-$daemon" \
        --settings "$work/$name/instance-$n.yaml"
    done
  done
  cli="$bin/amaranthhoist --platform http://$platform --control $seeds"
  sleep 1

  for site in "${sites[@]}"; do
    printf '{"name":"%s","region":"%s","failure_domain":"%s","cap_mw":300000,"idle_mw":50000,"guard_mw":5000,"slot_mw":{"enquiry-desk":10000,"pack-store":20000,"kernel-hub":15000,"file-vault":20000},"link_limits":{}}' \
      "$site" "${site%-*}" "$site" >"$work/site.json"
    $cli site apply "$work/site.json" >/dev/null
  done
  for file in "$work/$name"/target-*.json; do $cli target apply "$file" >/dev/null; done
  for ((n = 0; n < 10; ++n)); do
    printf '{"customer":"customer-%d","requests_per_second":2000,"concurrency":500,"priority":%d,"weight":1}' \
      $n $((n % 3)) >"$work/contract.json"
    $cli contract apply "$work/contract.json" >/dev/null
  done
  for ((i = 0; i < 100; ++i)); do
    ready=0
    for entry in "${entries[@]}"; do
      curl -sf "http://$entry/healthz" >/dev/null && ready=$((ready + 1)) || true
    done
    [ $ready = "$instances" ] && break
    sleep 0.1
  done
  sleep 3
  echo "== $name: $ready of $instances entries ready"
  $cli site status
}

exercise() {
  local name=$1
  "$bin/quickstart-caller" --deployment "$name" --seconds "$seconds" \
    --entries "$(IFS=,; echo "${entries[*]}")" \
    --backends "$(IFS=,; echo "${backends[*]}")" >"$work/$name-report.txt" &
  local callers=$!
  sleep $((seconds / 4))
  printf '{"customer":"customer-0","requests_per_second":2500,"concurrency":600,"priority":5,"weight":2}' >"$work/contract.json"
  $cli contract apply "$work/contract.json" --wait
  local drained=${sites[0]} begin end
  begin=$(date +%s%N)
  $cli drain start site "$drained" --force
  for ((i = 0; i < 600; ++i)); do
    $cli drain status --output json >"$work/drain.json"
    grep -q '"drained": true' "$work/drain.json" && break
    sleep 0.1
  done
  end=$(date +%s%N)
  grep -q '"drained": true' "$work/drain.json" || { echo "the drain did not end"; return 1; }
  echo "site $drained drained in $(((end - begin) / 1000000)) ms"
  $cli site status
  $cli drain cancel site "$drained"
  local failed=0
  wait $callers || failed=1
  cat "$work/$name-report.txt"
  peaks "$name" || failed=1
  return $failed
}

# The sites' own count of their peak draw against the cap of 300 W.
peaks() {
  local over=0 peak=0 draw
  for backend in "${backends[@]}"; do
    draw=$(curl -s "http://$backend/report" | sed -E 's/.*"site_peak_mw":([0-9]+).*/\1/')
    draw=$((draw + 50000))
    [ $draw -le $peak ] || peak=$draw
    [ $draw -le 300000 ] || over=$((over + 1))
  done
  echo "highest site draw $((peak / 1000)) W of 300 W; stand-ins that saw more: $over"
  [ $over = 0 ]
}

status=0
for deployment in $deployments; do
  deploy "$deployment"
  exercise "$deployment" || status=1
done
[ $status = 0 ] && echo "quickstart: all checks passed" || echo "quickstart: FAILED"
exit $status
