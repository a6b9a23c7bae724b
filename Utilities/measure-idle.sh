#!/usr/bin/env bash
# Measures the cost of the daemons of one deployment without caller requests:
# processor time, memory and bytes on loopback, by number of instances and of
# contracts. Gives the slopes of real processes for docs/CAPACITY.md.
#
#   Utilities/measure-idle.sh [INSTANCES...]     (default 4 7 10)
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/build
work=$(mktemp -d)
. Utilities/deployment.sh
trap 'end_deployment; rm -rf "$work"' EXIT
trap "exit 1" INT TERM
seconds=10
# Probes are disabled: they are load of the backend servers, not control traffic.
probes=0

loopback_bytes() { awk '/ lo:/ {sub("lo:", ""); print $1}' /proc/net/dev; }
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }

# Prints the processor time of all daemons of a kind, in ticks of 10 ms.
all_ticks() {
  local n sum=0
  for ((n = 0; n < instances; ++n)); do
    sum=$((sum + $(ticks "${pid_of[$name-$1-$n]}")))
  done
  echo $sum
}

measure() { # measure LABEL
  local kind
  declare -A before=()
  local bytes
  bytes=$(loopback_bytes)
  for kind in control gateway entry; do before[$kind]=$(all_ticks $kind); done
  sleep $seconds
  bytes=$((($(loopback_bytes) - bytes) / seconds / instances))
  printf '%s: %d bytes/s on loopback per instance (with headers, both ends local);' "$1" $bytes
  for kind in control gateway entry; do
    printf ' %s %s %% of a core, %d KB;' $kind \
      "$(awk -v t=$(($(all_ticks $kind) - before[$kind])) -v n=$instances -v s=$seconds 'BEGIN {printf "%.2f", t / n / s}')" \
      "$(resident_kb "${pid_of[$name-$kind-0]}")"
  done
  echo
}

put_contracts() { # put_contracts FROM TO
  seq "$1" "$2" | xargs -P 8 -I N curl -s -o /dev/null -X PUT -H 'If-Match: 0' \
    -d '{"customer":"bulk-N","requests_per_second":50,"concurrency":20,"priority":1,"weight":1,"services":["enquiry-desk","pack-store"],"regions":["bagmati","gandaki","lumbini"]}' \
    "http://127.0.0.1:$base/v1/objects/contract/bulk-N"
  sleep 4
}

for size in ${@:-4 7 10}; do
  describe() { base=12000 regions=(bagmati gandaki lumbini) instances=$size
    services=(enquiry-desk:25:6:330:5:10000:0 pack-store:12:3:330:5:20000:0); }
  name=mandap
  deploy mandap >/dev/null 2>&1 || sleep 5
  measure "$size instances, 10 contracts"
  if [ "$size" = 10 ]; then
    put_contracts 1 1000
    measure "$size instances, 1010 contracts"
    put_contracts 1001 4000
    measure "$size instances, 4010 contracts"
  fi
  end_deployment
  sleep 1
done
