#!/usr/bin/env bash
# Runs test_answers against a cluster of its own. Argument: build directory.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/cluster.sh"
dir=$(mktemp -d)
trap 'cluster_end $?' EXIT
export SNIPE_HOSTS=6 SNIPE_ENDPOINTS=12 SNIPE_SPEED_MIN=0.8 SNIPE_SPEED_MAX=1.2
export SNIPE_RULES='allow team=reorder kind=price-strip domain=*  # asked by Dana Wills
allow team=routes kind=price-strip domain=*  # asked by Lee Park
retry team=routes kind=price-strip max=2  # asked by Lee Park
allow team=patient kind=price-strip domain=*  # asked by Lee Park
queue team=patient max=1000 wait_ms=300  # asked by Lee Park'
export SNIPE_DAEMON_FLAGS="--poll-ms 200 --hello-ms 200"
cluster_start "$1" "$dir"
"$1/test_answers"
