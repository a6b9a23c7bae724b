#!/usr/bin/env bash
# Failure: a run concurrent with others fails with "3 backend stand-ins gave no
# report", or another user's run is killed by SIGKILL. A daemon of a deployment exits
# and is reaped, and its process id is reused, which takes less than a minute on a
# busy machine. The end of the deployment then sent SIGKILL to every id that it had
# ever started, regardless of the current owner.
#
# Reuse of a process id is too rare to wait for, so the test substitutes a process
# that this script does not own.
set -euo pipefail
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
. Utilities/deployment.sh
failed=0
check() { # check WHAT COMMAND...
  local what=$1; shift
  if "$@"; then echo "passed: $what"; else echo "FAILED: $what"; failed=$((failed + 1)); fi
}
# Excludes zombies: an exited process that has not been reaped keeps its id.
runs() { grep -qsE '^State:[[:space:]]+[^Z]' "/proc/$1/status"; }
is_gone() { ! runs "$1"; }

start ended true
wait "${pid_of[ended]}"
start alive sleep 600
alive=${pid_of[alive]}
foreign=$(sleep 600 >/dev/null 2>&1 & echo $!)
# Simulates the reuse of the exited daemon's id.
pids[0]=$foreign
pid_of[ended]=$foreign

check "a foreign process is not treated as a daemon" is_gone_daemon ended
check "a running daemon is recognized" runs_daemon alive
refuses_signal() { ! signal "$1" KILL 2>/dev/null; }
check "a signal for an ended daemon fails" refuses_signal ended
check "a signal for an ended daemon reaches no other process" runs "$foreign"
end_deployment
check "the end of the deployment ends the processes that it started" is_gone "$alive"
check "the end of the deployment ends no other process" runs "$foreign"
kill -KILL "$foreign"
rm -rf "$work"
[ $failed = 0 ]
