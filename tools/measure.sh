#!/usr/bin/env bash
# Measures response times relative to the reference schedules, and extra
# messages per task, with all processes on the loopback interface and the
# parameters of one deployment.
# Usage: measure.sh saltbush|ciotola [snipe-load flags...]
# SNIPE_DAEMON_FLAGS passes settings to the daemons.
set -euo pipefail
cd "$(dirname "$0")/.."
. tests/faults/cluster.sh
. tools/deployment.sh
deployment=$1
shift
deployment_set "$deployment"
dir=$(mktemp -d)
trap 'cluster_stop; rm -rf "$dir"' EXIT
cluster_start "${SNIPE_BUILD:-build}" "$dir"
cpu0=$(cluster_cpu_us)
"${SNIPE_BUILD:-build}/snipe-load" --hosts "$SNIPE_TEST_HTTP" \
  --endpoints-control "http://$SNIPE_TEST_ENDPOINTS" --tasks-min 1 \
  --tasks-max 32 "$@"
cpu1=$(cluster_cpu_us)
tasks=$(curl -sf "http://$SNIPE_TEST_ENDPOINTS/control/counts" | jq .starts)
awk -v c=$((cpu1 - cpu0)) -v n="$tasks" 'BEGIN {
  printf "daemons                      %.1f us of processor time a task\n", c / n }'
