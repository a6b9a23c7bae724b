# Sourced by scripts that run a complete deployment against stand-ins.
# Requires: bin, work. Sets: sites, backends, entries, controls, cli, and the ids
# of the processes that it started in pids and pid_of.
pids=()
declare -A pid_of=()

# Whether the id belongs to a running process that was started here. Once a
# process was waited for, its id may be reused, on a busy machine within a minute.
# A signal by id alone may then hit a process of another run, which shows as a
# stand-in without a report or a scenario that ended early. Every process started
# here is a child of this shell, and no other process is.
is_own() { # is_own PID
  local status=()
  [ -r "/proc/$1/status" ] && mapfile -d '' status 2>/dev/null <"/proc/$1/status" || return 1
  [[ ${status[0]:-} =~ PPid:[[:space:]]+$$[[:space:]] && ! ${status[0]} =~ State:[[:space:]]+Z ]]
}

signal_own() { # signal_own PID SIGNAL
  ! is_own "$1" || kill "-$2" "$1" 2>/dev/null || true
}

# Takes the log name under which the daemon was started.
runs_daemon() { is_own "${pid_of[$1]}"; }
is_gone_daemon() { ! runs_daemon "$1"; }
# Fails if the daemon has already ended by itself, so that a crashed daemon is not
# mistaken for a signalled one.
signal() { # signal LOGNAME SIGNAL
  runs_daemon "$1" || { echo "$1 ended before it was signalled" >&2; return 1; }
  kill "-$2" "${pid_of[$1]}"
}

# Ends only the processes that were started here, by id.
end_deployment() {
  local pid
  for pid in "${pids[@]:-}"; do [ -z "$pid" ] || signal_own "$pid" CONT; done
  for pid in "${pids[@]:-}"; do [ -z "$pid" ] || signal_own "$pid" KILL; done
  for pid in "${pids[@]:-}"; do [ -z "$pid" ] || wait "$pid" || true; done
  pids=()
} 2>/dev/null # Discards the shell's messages about killed processes.

start() { # start LOGNAME PROGRAM ARGUMENTS...
  local log=$work/$1.log name=$1; shift
  "$@" >>"$log" 2>&1 &
  pids+=($!)
  pid_of[$name]=$!
}

# Describes the deployments: ports, regions, and services in the form
# name:targets:slots:connections:work_ms:slot_mw:probe.
describe() {
  case $1 in
    mandap)
      base=12000 regions=(bagmati gandaki lumbini) instances=10
      services=(enquiry-desk:25:6:330:5:10000:1 pack-store:12:3:330:5:20000:1) ;;
    jegyzet)
      base=16000 regions=(budapest munchen wien) instances=10
      services=(kernel-hub:30:3:400:8:15000:0 file-vault:12:3:400:5:20000:0) ;;
    *) echo "no such deployment: $1" >&2; return 2 ;;
  esac
  [ "${small:-0}" = 0 ] || instances=6
}

# Starts the backend stand-ins, one process per site, so that each site measures
# its own power draw.
start_backends() {
  local port=$((base + 1000)) i kind count slots connections work_ms mw probe
  declare -A arguments=()
  for service in "${services[@]}"; do
    IFS=: read -r kind count slots connections work_ms mw probe <<<"$service"
    [ "${small:-0}" = 0 ] || count=$((count / 2))
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
}

write_settings() { # write_settings NUMBER
  local n=$1 region=${regions[$(($1 % 3))]} half=a probe_path=
  [ $((n / 3 % 2)) = 0 ] || half=b
  [ "$name" = jegyzet ] || [ "${probes:-1}" = 0 ] || probe_path=/health
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
  max_work_ms: ${max_work_ms:-30000}
  probe_path: "$probe_path"
control:
  listen: 127.0.0.1:$((base + 300 + n))
  platform: http://127.0.0.1:$base
  seeds: [$seeds]
YAML
  "$bin/amaranthhoist" settings check "$work/$name/instance-$n.yaml" >/dev/null
}

start_daemon() { # start_daemon KIND NUMBER
  start "$name-$1-$2" "$bin/amaranthhoist-$1" \
    --settings "$work/$name/instance-$2.yaml"
}

load_objects() {
  for site in "${sites[@]}"; do
    printf '{"name":"%s","region":"%s","failure_domain":"%s","cap_mw":%d,"idle_mw":50000,"guard_mw":5000,"slot_mw":{"enquiry-desk":10000,"pack-store":20000,"kernel-hub":15000,"file-vault":20000},"link_limits":{}}' \
      "$site" "${site%-*}" "$site" "${cap_mw:-300000}" >"$work/site.json"
    $cli site apply "$work/site.json" >/dev/null
  done
  for file in "$work/$name"/target-*.json; do $cli target apply "$file" >/dev/null; done
  for ((n = 0; n < 10; ++n)); do
    printf '{"customer":"customer-%d","requests_per_second":2000,"concurrency":500,"priority":%d,"weight":1}' \
      $n $((n % 3)) >"$work/contract.json"
    $cli contract apply "$work/contract.json" >/dev/null
  done
}

# Waits until every entry is ready and the gateways of every site hold their
# shares.
wait_until_ready() {
  local ready=0 i
  for ((i = 0; i < 150; ++i)); do
    ready=0
    for entry in "${entries[@]}"; do
      curl -sf "http://$entry/healthz" >/dev/null && ready=$((ready + 1)) || true
    done
    [ $ready = "$instances" ] &&
      [ "$($cli site status --output json | grep -c '"headroom_mw": '$((${cap_mw:-300000} - 55000)))" = 6 ] &&
      return 0
    sleep 0.1
  done
  echo "$name: not ready: $ready of $instances entries" >&2
  return 1
}

deploy() { # deploy NAME
  name=$1; describe "$name"
  local n
  mkdir -p "$work/$name"
  start "$name-platform" "$bin/platform-stand-in" 127.0.0.1:$base
  sites=() backends=() entries=() controls=()
  for region in "${regions[@]}"; do sites+=("$region-a" "$region-b"); done
  start_backends
  for ((n = 0; n < instances; ++n)); do
    controls+=("127.0.0.1:$((base + 300 + n))")
    entries+=("127.0.0.1:$((base + 100 + n))")
  done
  seeds=$(IFS=,; echo "${controls[*]:0:3}")
  cli="$bin/amaranthhoist --platform http://127.0.0.1:$base --control $seeds"
  for ((n = 0; n < instances; ++n)); do
    write_settings $n
    for daemon in control gateway entry; do start_daemon $daemon $n; done
  done
  sleep 0.5
  load_objects
  wait_until_ready
  # Waits until load reports have reached all entries.
  sleep 3
}

join() { local IFS=,; echo "$*"; }

start_callers() { # start_callers SECONDS; sets callers
  "$bin/quickstart-caller" --deployment "$name" --seconds "$1" \
    --entries "$(join "${entries[@]}")" --backends "$(join "${backends[@]}")" \
    ${caller_options:-} >"$work/$name-report.txt" &
  callers=$!
  pids+=("$callers")
}

# Compares the peak draw measured by each site with its cap.
check_peaks() {
  local over=0 peak=0 draw backend cap=${cap_mw:-300000}
  for backend in "${backends[@]}"; do
    draw=$(curl -s "http://$backend/report" | sed -E 's/.*"site_peak_mw":([0-9]+).*/\1/')
    draw=$((draw + 50000))
    [ $draw -le $peak ] || peak=$draw
    [ $draw -le "$cap" ] || over=$((over + 1))
  done
  echo "highest site draw $((peak / 1000)) W of $((cap / 1000)) W; stand-ins that measured more: $over"
  [ $over = 0 ]
}
