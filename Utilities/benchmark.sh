#!/usr/bin/env bash
# Measures the latency that the path adds, look-ups and requests per second, and
# the memory per idle connection, in one deployment of each user's size. Recorded
# results are in docs/CAPACITY.md.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/build
work=$(mktemp -d)
. Utilities/deployment.sh
trap 'end_deployment; rm -rf "$work"' EXIT
trap "exit 1" INT TERM

ticks() { awk '{print $14 + $15}' "/proc/${pid_of[$name-$1-0]}/stat"; }

deploy mandap
# The contract's rate is split among the entries. It is set high enough that it
# does not limit the measurement.
printf '{"customer":"customer-1","requests_per_second":1000000,"concurrency":100000}' >"$work/contract.json"
$cli contract apply "$work/contract.json" --wait
before_entry=$(ticks entry) before_gateway=$(ticks gateway)
"$bin/path-benchmark" --entry "${entries[0]}" --backend "${backends[0]}"
echo "  processor time of entry 0: $((($(ticks entry) - before_entry) * 10)) ms, of gateway 0: $((($(ticks gateway) - before_gateway) * 10)) ms"

# Memory per idle caller connection.
resident() { awk '/VmRSS/ {print $2}' "/proc/${pid_of[$name-entry-0]}/status"; }
address=${entries[0]%:*} port=${entries[0]#*:}
before=$(resident)
descriptors=()
for ((i = 0; i < 500; ++i)); do
  exec {fd}<>"/dev/tcp/$address/$port"
  descriptors+=("$fd")
done
sleep 0.5
echo "  500 idle connections: $((($(resident) - before) * 1024 / 500)) bytes each at the entry"
for fd in "${descriptors[@]}"; do exec {fd}>&-; done

# Memory per streamed response, with slow readers of long exports.
gateways_kb() {
  local n sum=0
  for ((n = 0; n < instances; ++n)); do
    sum=$((sum + $(awk '/VmRSS/ {print $2}' "/proc/${pid_of[$name-gateway-$n]}/status")))
  done
  echo $sum
}
before=$(resident) before_gateways=$(gateways_kb)
readers=()
for ((i = 0; i < 20; ++i)); do
  curl -s --limit-rate 100k -m 6 -H 'X-Customer: customer-1' -H 'X-Deadline-Ms: 20000' \
    "http://${entries[0]}/v1/run/pack-store/packs/$i?bytes=50000000" >/dev/null &
  readers+=($!)
done
sleep 4
echo "  20 streams of 50 MB, slow readers: $((($(resident) - before) / 20)) KB each at the entry, $((($(gateways_kb) - before_gateways) / 20)) KB each at the gateways"
for pid in "${readers[@]}"; do wait "$pid" || true; done
