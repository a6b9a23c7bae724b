#!/usr/bin/env bash
# The promises over real processes under signals and broken stand-ins: callers
# run while each fault is caused, then what they were told is compared with what
# the backend stand-ins executed.
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

# Symptom: requests to a dead gateway. Sequence: the process is killed with work
# under way and started again. Cause to rule out: a key run twice, or said not
# run by the witness although the dead owner had sent it.
scenario_gateway_killed() {
  kill_daemon gateway 0
  sleep 2
  start_daemon gateway 0
  sleep 1
}

# Symptom: a holder acts on what it held before a pause. Sequence: stopped in
# the middle of its work, longer than its loans last, then woken.
scenario_gateway_frozen() {
  signal_daemon gateway 1 STOP
  sleep 3
  signal_daemon gateway 1 CONT
  sleep 1
}

# Symptom: nobody knows the newest state. Sequence: the platform turns all calls
# away; a gateway dies meanwhile and can't register until it is back.
scenario_platform_away() {
  break_platform "outage=1"
  kill_daemon gateway 2
  start_daemon gateway 2
  sleep 3
  break_platform "outage=0"
  sleep 1
}

# Symptom: a write's fate is unknown. Sequence: writes take effect and their
# answers are lost, while gateways change their shares and register.
scenario_writes_lose_answers() {
  break_platform "lose_answers=6"
  kill_daemon gateway 0
  start_daemon gateway 0
  sleep 3
  break_platform "lose_answers=0"
}

# Symptom: callers' connections die. Sequence: an entry is killed and replaced.
scenario_entry_killed() {
  kill_daemon entry 0
  sleep 2
  start_daemon entry 0
  sleep 1
}

# Symptom: an answer belongs to somebody else, or never comes. Sequence: backend
# servers answer under another id, or execute and cut the connection.
scenario_answers_lost_and_crossed() {
  break_backends "lose_answers=3&cross_wire=3"
  sleep 3
}

# Symptom: callers are told after seconds what is known at once. Sequence: all
# servers of a site die, their connections are refused, and come back after four
# seconds. Cause: requests waited behind servers that were known to take none.
scenario_site_servers_die() {
  local place
  for place in "${!backends[@]}"; do
    [ $((place % 6)) != 0 ] || curl -s "http://${backends[$place]}/control?down_ms=4000" >/dev/null
  done
  sleep 4
}

# Symptom: a server that leaves gets new work. Sequence: one says so in its
# health answer only; the list still has it.
scenario_target_leaves_by_health() {
  local leaving=${backends[0]}
  curl -s "http://$leaving/control?draining=1&draining_header=0" >/dev/null
  sleep 5
  curl -s "http://$leaving/control?draining=0" >/dev/null
}

# Symptom: half a region's control is gone. Sequence: two controls die; their
# daemons keep what they know, and contracts still come into force elsewhere.
scenario_controls_killed() {
  kill_daemon control 0
  kill_daemon control 1
  sleep 2
  start_daemon control 0
  start_daemon control 1
  sleep 2
}

# Symptom: one operator's change is lost without a word. Sequence: two change the
# same contract from the same version at once; exactly one may be accepted.
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
  # A write whose answer is lost is told from a write that wasn't made.
  break_platform "lose_answers=1"
  $cli contract apply "$work/second.json" --wait ||
    { echo "a write that took effect was not recognised"; failed=$((failed + 1)); }
}

# Symptom: a region's load lands on the others at once. Sequence: all daemons of
# a region die together, and come back together.
scenario_region_lost() {
  local n daemon
  for n in 0 3; do for daemon in entry gateway control; do kill_daemon $daemon $n; done; done
  sleep 2
  for n in 0 3; do for daemon in control gateway entry; do start_daemon $daemon $n; done; done
  sleep 2
}

# Waits for a daemon to end by itself; one that hangs is ended, so that the run
# has its verdict. Longer than the work of unknown end and the reclaiming of a
# dead holder's share take together.
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

# Symptom: a planned restart cuts requests off. Sequence: a gateway and an entry
# are asked to stop while callers use them; each has to finish its work, give up
# its shares or its name, and end by itself.
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

# Symptom: a gateway that was asked to stop waits for its shares until its limit
# of ten minutes. Sequence: both gateways of a site are asked to stop at once;
# each writes the site's record without its own share, and one of them loses the
# race. Cause: a gateway that had unregistered took in no further objects, so
# that it never saw the record that had beaten its own write.
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

# Symptom: bad input is passed on, or holds resources. Sequence: requests without
# what they need, too large ones, an upload that is broken off, and a caller that
# leaves while its request runs: it has to stop at the backend server too.
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
  # Broken off in the middle of its upload.
  printf 'PUT /v1/run/enquiry-desk/cells/1 HTTP/1.1\r\nHost: x\r\nX-Customer: customer-1\r\nX-Idempotent: true\r\nContent-Length: 500000\r\n\r\npart' \
    >"/dev/tcp/${entries[2]%:*}/${entries[2]#*:}"
  # Leaves while its request runs.
  curl -s -m 0.5 -H "$customer" "$run/leaver/1?work_ms=20000" >/dev/null || true
  wait $callers || failed=$((failed + 1))
  for ((i = 0; i < 100; ++i)); do
    [ "$(in_progress)" = 0 ] && [ "$($cli site status --output json | grep -c '"in_progress": 0')" = 6 ] && break
    sleep 0.1
  done
  [ $i -lt 100 ] || { echo "requests of callers that left are held"; failed=$((failed + 1)); }
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
