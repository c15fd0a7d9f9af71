#!/usr/bin/env bash
# Measures one entry daemon: processor time per no-op task, compared with that
# of bare libcurl clients that post to the same endpoints in the same run; the
# latency that it adds to a job of one task; and resident memory per waiting
# task beyond the payload. Usage: bench-daemon.sh [TASKS_PER_JOB]
set -euo pipefail
cd "$(dirname "$0")/.."
. tests/faults/cluster.sh
bin=${SNIPE_BUILD:-build}
tasks=${1:-48}
export SNIPE_HOSTS=1 SNIPE_DOMAINS=perth-east SNIPE_ENDPOINTS=8
export SNIPE_SPEED_MIN=1 SNIPE_SPEED_MAX=1
export SNIPE_RULES='allow team=load kind=* domain=*  # asked by the benchmark'
export SNIPE_DAEMON_FLAGS=${SNIPE_DAEMON_FLAGS:---log-level warning}
dir=$(mktemp -d)
trap 'cluster_stop; rm -rf "$dir"' EXIT
cluster_start "$bin" "$dir"
pid=${SNIPE_TEST_HOSTS##*,}
hz=$(getconf CLK_TCK)

cpu_us() { # processor time used by the daemon, in microseconds
  awk -v hz="$hz" '{ print int (($14 + $15) * 1000000 / hz) }' "/proc/$pid/stat"
}
rss_kb() { awk '/VmRSS/ { print $2 }' "/proc/$pid/status"; }
metric() {
  curl -sf "http://$SNIPE_TEST_HTTP/metrics" \
    | awk -v name="snipelb_$1" '$1 == name { print $2 }'
}

addresses=$(curl -sf "http://$SNIPE_TEST_ENDPOINTS/control/counts" \
  | jq -r '[.endpoints[].address] | join(",")')
echo "== bare libcurl clients and the endpoint client, no daemon"
"$bin/bench-path" --address "$addresses" --rounds 3 --count 20000

echo "== through one daemon, $tasks tasks a job"
for rate in 5000 10000 20000 30000; do
  jobs=$((rate * 4 / tasks))
  c0=$(cpu_us) s0=$(metric task_starts_total)
  "$bin/snipe-load" --hosts "$SNIPE_TEST_HTTP" --jobs "$jobs" \
    --rate $((rate / tasks)) --tasks-min "$tasks" --tasks-max "$tasks" \
    --ms-min 0.001 --ms-max 0.001 --slots-total 64 >"$dir/load.txt"
  c1=$(cpu_us) s1=$(metric task_starts_total)
  awk -v c=$((c1 - c0)) -v n=$((s1 - s0)) -v rate=$rate \
    'BEGIN { printf "asked %d starts/s: %d starts, %.1f us of processor time each\n", rate, n, c / n }'
  grep -E '^(response_ms|run|jobs) ' "$dir/load.txt"
done

# The response time includes the load generator and the endpoint, so it is an
# upper bound of the daemon's latency. Half load is half of the highest rate
# that the daemon sustains.
echo "== jobs of one no-op task"
for rate in 1000 2000 4000 8000; do
  c0=$(cpu_us) s0=$(metric task_starts_total)
  "$bin/snipe-load" --hosts "$SNIPE_TEST_HTTP" --jobs $((rate * 3)) \
    --rate "$rate" --tasks-min 1 --tasks-max 1 --ms-min 0.001 \
    --ms-max 0.001 --slots-total 64 >"$dir/load.txt"
  c1=$(cpu_us) s1=$(metric task_starts_total)
  awk -v c=$((c1 - c0)) -v n=$((s1 - s0)) -v rate=$rate \
    'BEGIN { printf "asked %d jobs/s: %d starts, %.1f us of processor time each\n", rate, n, c / n }'
  grep -E '^(response_ms|run|jobs) ' "$dir/load.txt"
done
echo "resident memory: $(rss_kb) KB"

# Restarts the daemon, because memory that earlier rounds freed would be reused
# and hide the growth.
cluster_stop
cluster_start "$bin" "$dir/fresh"
pid=${SNIPE_TEST_HOSTS##*,}
echo "== waiting tasks, endpoints frozen"
curl -sf -XPOST "http://$SNIPE_TEST_ENDPOINTS/control" \
  -d '{"endpoint":"*","mode":"freeze"}' >/dev/null
payload=$(printf '%0100d' 0)
body=$(jq -cn --arg p "$payload" '{team:"load",deadline_ms:120000,
  tasks:[range(200)|{kind:"work",run_ms:1000,payload:$p}]}')
ids=$(curl -sf -XPOST "http://$SNIPE_TEST_HTTP/v1/ids?count=250" \
  | jq -r '.ids[]')
r0=$(rss_kb)
# With wait=0 the daemon responds as soon as the job is queued.
for id in $ids; do
  printf 'url = "http://%s/v1/jobs/%s?wait=0"\noutput = "/dev/null"\n' \
    "$SNIPE_TEST_HTTP" "$id"
done >"$dir/urls"
curl -s -XPUT --data-binary "$body" -K "$dir/urls"
queued=$(curl -sf "http://$SNIPE_TEST_HTTP/v1/status" | jq .queued)
r1=$(rss_kb)
# The quotes around the payload count as part of it.
awk -v kb=$((r1 - r0)) -v n="$queued" -v p=$((${#payload} + 2)) \
  'BEGIN { printf "%d tasks waiting, resident %d KB more: %.0f bytes each beyond a payload of %d\n", n, kb, kb * 1024 / n - p, p }'
echo "resident memory: $r1 KB"
