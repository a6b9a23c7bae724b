#!/usr/bin/env bash
# Checks the guarantees with real processes under signals and faulty stand-ins.
# Callers run while each fault is injected; then the responses that they received
# are compared with the requests that the backend stand-ins executed.
#
#   Tests/Processes/failures.sh [BUILD_DIRECTORY] [SCENARIO...]
set -euo pipefail
cd "$(dirname "$0")/../.."
bin=$(cd "${1:-build}" && pwd)
shift || true
work=$(mktemp -d)
small=1
max_work_ms=3000
. Utilities/deployment.sh

finish() { end_deployment; rm -rf "$work"; }
trap finish EXIT
trap "exit 1" INT TERM

kill_daemon() { signal_daemon "$1" "$2" KILL; wait "${pid_of[$name-$1-$2]}" 2>/dev/null || true; }
signal_daemon() { signal "$name-$1-$2" "$3"; }
break_platform() { curl -s "http://127.0.0.1:$base/control?$1" >/dev/null; }
break_backends() {
  local backend
  for backend in "${backends[@]}"; do curl -s "http://$backend/control?$1" >/dev/null; done
}

# Requests are sent to a dead gateway: the process is killed with requests in
# flight and restarted. Failure: a key is executed twice, or the witness reports it
# as not executed although the dead owner had sent it.
scenario_gateway_killed() {
  kill_daemon gateway 0
  sleep 2
  start_daemon gateway 0
  sleep 1
}

# Failure: a holder uses shares from before a pause. The gateway is stopped with
# requests in flight for longer than its loans last, and then resumed.
scenario_gateway_frozen() {
  signal_daemon gateway 1 STOP
  sleep 3
  signal_daemon gateway 1 CONT
  sleep 1
}

# Failure: no daemon has the latest state. The platform rejects all calls, and a
# gateway that dies during the outage cannot register until the platform recovers.
scenario_platform_away() {
  break_platform "outage=1"
  kill_daemon gateway 2
  start_daemon gateway 2
  sleep 3
  break_platform "outage=0"
  sleep 1
}

# Failure: the result of a write is unknown. Writes take effect but their responses
# are lost, while gateways change their shares and register.
scenario_writes_lose_answers() {
  break_platform "lose_answers=6"
  kill_daemon gateway 0
  start_daemon gateway 0
  sleep 3
  break_platform "lose_answers=0"
}

# Failure: callers lose their connections. An entry is killed and restarted.
scenario_entry_killed() {
  kill_daemon entry 0
  sleep 2
  start_daemon entry 0
  sleep 1
}

# Failure: a caller receives the response to another request, or none. Backend
# servers respond with another id, or execute and close the connection.
scenario_answers_lost_and_crossed() {
  break_backends "lose_answers=3&cross_wire=3"
  sleep 3
}

# Failure: callers are refused only after seconds, although the gateway can refuse
# them immediately. All servers of a site die, refuse connections, and return after
# four seconds; requests are queued for servers that are known to accept none.
scenario_site_servers_die() {
  local place
  for place in "${!backends[@]}"; do
    [ $((place % 6)) != 0 ] || curl -s "http://${backends[$place]}/control?down_ms=4000" >/dev/null
  done
  sleep 4
}

# Failure: a draining server receives new requests. It reports the draining state in
# its health response only, and the list still holds it as ready.
scenario_target_leaves_by_health() {
  local leaving=${backends[0]}
  curl -s "http://$leaving/control?draining=1&draining_header=0" >/dev/null
  sleep 5
  curl -s "http://$leaving/control?draining=0" >/dev/null
}

# Half of a region's control daemons are killed. The daemons that depend on them
# keep their current state, and contracts still take effect elsewhere.
scenario_controls_killed() {
  kill_daemon control 0
  kill_daemon control 1
  sleep 2
  start_daemon control 0
  start_daemon control 1
  sleep 2
}

# Failure: an operator's change is silently lost. Two operators concurrently change
# the same contract from the same version; exactly one change may be accepted.
scenario_operators_race() {
  local version accepted=0 first second
  version=$($cli contract get customer-9 --output json | sed -n 's/.*"version": \([0-9]*\).*/\1/p')
  printf '{"customer":"customer-9","requests_per_second":2001,"concurrency":500}' >"$work/first.json"
  printf '{"customer":"customer-9","requests_per_second":2002,"concurrency":500}' >"$work/second.json"
  $cli contract apply "$work/first.json" --base "$version" --wait & first=$!
  $cli contract apply "$work/second.json" --base "$version" --wait & second=$!
  wait $first && accepted=$((accepted + 1)) || true
  wait $second && accepted=$((accepted + 1)) || true
  [ $accepted = 1 ] || { echo "$accepted of two racing changes were accepted"; failed=$((failed + 1)); }
  # A write with a lost response is distinguished from a write that was not made.
  break_platform "lose_answers=1"
  $cli contract apply "$work/second.json" --wait ||
    { echo "a write that took effect was not recognised"; failed=$((failed + 1)); }
}

# Failure: the load of a region moves to the others all at once. All daemons of a
# region are killed together and restarted together.
scenario_region_lost() {
  local n daemon
  for n in 0 3; do for daemon in entry gateway control; do kill_daemon $daemon $n; done; done
  sleep 2
  for n in 0 3; do for daemon in control gateway entry; do start_daemon $daemon $n; done; done
  sleep 2
}

# Waits up to 30 s for a daemon to exit, and kills a daemon that hangs so that the
# run completes. The limit exceeds the time for requests with an unknown end plus
# the time to reclaim a dead holder's share.
expect_end() { # expect_end KIND NUMBER
  local pid=${pid_of[$name-$1-$2]} i
  for ((i = 0; i < 300; ++i)); do
    is_own "$pid" || break
    sleep 0.1
  done
  [ $i -lt 300 ] || { echo "the $1 $2 did not end"; signal_own "$pid" KILL; }
  wait "$pid" || { echo "the $1 $2 ended with $?"; failed=$((failed + 1)); }
}

expect_shares_given_up() { # expect_shares_given_up NUMBER
  grep -q '"complete": "yes"' "$work/$name-gateway-$1.log" ||
    { echo "the gateway $1 did not give up its shares"; failed=$((failed + 1)); }
}

# Failure: a planned restart aborts requests. A gateway and an entry receive SIGTERM
# while callers use them. Each has to finish its requests, release its shares or
# its name, and exit.
scenario_daemons_stopped() {
  signal_daemon gateway 0 TERM
  signal_daemon entry 1 TERM
  expect_end gateway 0
  expect_end entry 1
  expect_shares_given_up 0
  start_daemon gateway 0
  start_daemon entry 1
  sleep 1
}

# Failure: a gateway that received SIGTERM waits for the release of its shares until
# its limit of ten minutes. Both gateways of a site shut down at the same time, each
# writes the site's record without its own share, and one write conflicts. A gateway
# that had unregistered applied no further objects, so it never received the record
# that conflicted with its write.
scenario_gateways_stopped_together() {
  signal_daemon gateway 0 TERM
  signal_daemon gateway 3 TERM
  expect_end gateway 0
  expect_end gateway 3
  expect_shares_given_up 0
  expect_shares_given_up 3
  start_daemon gateway 0
  start_daemon gateway 3
  sleep 1
}

expect_status() { # expect_status STATUS CURL_ARGUMENTS...
  local wanted=$1 got; shift
  got=$(curl -s -o /dev/null -m 5 -w '%{http_code}' "$@" || true)
  [ "$got" = "$wanted" ] || { echo "got $got, wanted $wanted: $*"; failed=$((failed + 1)); }
}

in_progress() { curl -s "http://${entries[2]}/metrics" | awk '/^amaranthhoist_requests_in_progress/ {print $2}'; }

# Failure: malformed input is forwarded or holds resources. Covers requests without
# required fields, oversized requests, an aborted upload, and a caller that
# disconnects during its request, which the backend server has to stop as well.
scenario_callers_misbehave() {
  local run=http://${entries[2]}/v1/run/enquiry-desk i
  local customer='X-Customer: customer-1'
  expect_status 400 "$run/dates/1"
  expect_status 400 -H "$customer" -H 'X-Deadline-Ms: soon' "$run/dates/1"
  expect_status 400 -H "$customer" -H 'X-Deadline-Ms: 0' "$run/dates/1"
  expect_status 400 -H "$customer" -d x "$run/holds/1"
  expect_status 400 -H "$customer" -H 'Idempotency-Key: no-home' -d x "$run/holds/1"
  expect_status 400 -H "$customer" "http://${entries[2]}/v1/run/"
  expect_status 404 "http://${entries[2]}/nothing"
  expect_status 405 -X POST "http://${entries[2]}/v1/entries"
  expect_status 400 "http://${entries[2]}/v1/entries"
  expect_status 429 -H 'X-Customer: nobody' "$run/dates/1"
  expect_status 413 -H "$customer" -H 'X-Idempotent: true' -H 'Content-Length: 99999999999' -X PUT -d x "$run/cells/1"
  # Aborts in the middle of the upload.
  printf 'PUT /v1/run/enquiry-desk/cells/1 HTTP/1.1\r\nHost: x\r\nX-Customer: customer-1\r\nX-Idempotent: true\r\nContent-Length: 500000\r\n\r\npart' \
    >"/dev/tcp/${entries[2]%:*}/${entries[2]#*:}"
  # Disconnects while the request runs.
  curl -s -m 0.5 -H "$customer" "$run/leaver/1?work_ms=20000" >/dev/null || true
  wait $callers || failed=$((failed + 1))
  for ((i = 0; i < 100; ++i)); do
    [ "$(in_progress)" = 0 ] && [ "$($cli site status --output json | grep -c '"in_progress": 0')" = 6 ] && break
    sleep 0.1
  done
  [ $i -lt 100 ] || { echo "requests of disconnected callers are still in progress"; failed=$((failed + 1)); }
  start_callers 1
}

scenarios=(gateway_killed gateway_frozen platform_away writes_lose_answers
           entry_killed answers_lost_and_crossed site_servers_die
           target_leaves_by_health
           controls_killed operators_race region_lost daemons_stopped
           gateways_stopped_together callers_misbehave)
[ $# = 0 ] || scenarios=("$@")

deploy mandap
passed=0 failed=0
for scenario in "${scenarios[@]}"; do
  echo "== $scenario"
  caller_options=--allow-cut
  start_callers 6
  sleep 1
  "scenario_$scenario"
  if wait $callers && check_peaks; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED: $scenario"
  fi
  cat "$work/$name-report.txt"
done
echo "$passed passed, $failed failed"
[ $failed = 0 ]
