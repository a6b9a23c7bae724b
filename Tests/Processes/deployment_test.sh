#!/usr/bin/env bash
# Symptom: a run beside others fails with "3 backend stand-ins gave no report",
# or a run of somebody else's ends by SIGKILL. Sequence: a daemon of a deployment
# ends and is waited for; its id is given to another process, which on a busy
# machine takes less than a minute; the deployment is ended. Cause: SIGKILL went
# to all ids that were ever started, whoever had them by then.
#
# An id comes round too rarely to wait for: a process that isn't this script's
# own stands in for the one that got it.
set -euo pipefail
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
. Utilities/deployment.sh
failed=0
check() { # check WHAT COMMAND...
  local what=$1; shift
  if "$@"; then echo "passed: $what"; else echo "FAILED: $what"; failed=$((failed + 1)); fi
}
# One that has ended and that nobody waits for keeps its id.
runs() { grep -qsE '^State:[[:space:]]+[^Z]' "/proc/$1/status"; }
is_gone() { ! runs "$1"; }

start ended true
wait "${pid_of[ended]}"
start alive sleep 600
alive=${pid_of[alive]}
foreign=$(sleep 600 >/dev/null 2>&1 & echo $!)
# As if the ended daemon's id had come round.
pids[0]=$foreign
pid_of[ended]=$foreign

check "a foreign process isn't taken for a daemon" is_gone_daemon ended
check "a running daemon is known as one" runs_daemon alive
refuses_signal() { ! signal "$1" KILL 2>/dev/null; }
check "a signal for an ended daemon fails" refuses_signal ended
check "a signal for an ended daemon reaches nobody else" runs "$foreign"
end_deployment
check "the end of the deployment ends what it started" is_gone "$alive"
check "the end of the deployment ends nothing else" runs "$foreign"
kill -KILL "$foreign"
rm -rf "$work"
[ $failed = 0 ]
