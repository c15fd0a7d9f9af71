#!/usr/bin/env bash
# Measures the control overhead of an idle entry host for a given number of
# entry hosts, listed endpoints and teams with quotas. Prints per host and
# second: processor time, bytes to the platform and to peers, heartbeats and
# store reads; and resident memory of the first host.
# Usage: measure-control.sh HOSTS ENDPOINTS TEAMS [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
. tests/faults/cluster.sh
hosts=$1 endpoints=$2 teams=$3 seconds=${4:-20}
export SNIPE_HOSTS=$hosts SNIPE_ENDPOINTS=48 SNIPE_RULES
export SNIPE_DOMAINS=d1,d2,d3,d4,d5 SNIPE_REGION=r1
export SNIPE_DAEMON_FLAGS="--log-level warning"
SNIPE_RULES=$(for ((i = 0; i < teams; i++)); do
  echo "allow team=team-$i kind=* domain=* # asked by the benchmark"
  echo "limit team=team-$i slots=400 # asked by the benchmark"
done)
dir=$(mktemp -d)
trap 'cluster_stop; rm -rf "$dir"' EXIT
cluster_start "${SNIPE_BUILD:-build}" "$dir"
# Endpoints beyond the first 48 only have an entry in the list; no process
# serves them, and no tasks are sent.
jq -n --argjson n "$((endpoints - 48))" '{hosts: [range ([$n, 0] | max)
  | {name: "listed-\(.)", role: "endpoint", address: "127.0.0.1:9",
     domain: "d\(. % 5 + 1)", region: "r1", rack: "k\(. / 8 | floor)",
     state: "live", slots: 8, connections: 64, cores: 64, mem_mb: 131072,
     accel: 0, size: 1}]}' \
  | curl -sf -XPOST "http://$SNIPE_TEST_PLATFORM/control" -d @- >/dev/null
sleep "${SNIPE_SETTLE:-15}" # until shares, lists and rules are stable
total() { # total METRIC: prints the sum over all hosts
  local http sum=0 value
  for http in ${SNIPE_TEST_HTTP//,/ }; do
    value=$(curl -sf "http://$http/metrics" \
      | awk -v n="snipelb_$1" '$1 == n { print $2 }')
    sum=$((sum + value))
  done
  echo "$sum"
}
c0=$(cluster_cpu_us) s0=$(total store_bytes_total) p0=$(total peer_bytes_total)
h0=$(total hellos_total) r0=$(total store_reads_total)
sleep "$seconds"
c1=$(cluster_cpu_us) s1=$(total store_bytes_total) p1=$(total peer_bytes_total)
h1=$(total hellos_total) r1=$(total store_reads_total)
first=${SNIPE_TEST_HOSTS%%;*}
rss=$(awk '/VmRSS/ { print $2 }' "/proc/${first##*,}/status")
awk -v n="$hosts" -v s="$seconds" -v c=$((c1 - c0)) -v st=$((s1 - s0)) \
  -v p=$((p1 - p0)) -v h=$((h1 - h0)) -v r=$((r1 - r0)) -v rss="$rss" \
  -v e="$endpoints" -v t="$teams" 'BEGIN {
    printf "hosts %d endpoints %d teams %d: per host and second: ", n, e, t
    printf "cpu %.2f ms, store %.0f B, peers %.0f B, hellos %.2f, reads %.2f; rss %d KB\n",
      c / n / s / 1000, st / n / s, p / n / s, h / n / s, r / n / s, rss }'
