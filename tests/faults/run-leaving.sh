#!/usr/bin/env bash
# Runs test_leaving against a cluster of its own. Argument: build directory.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/cluster.sh"
dir=$(mktemp -d)
trap 'cluster_end $?' EXIT
export SNIPE_HOSTS=6 SNIPE_ENDPOINTS=12 SNIPE_SPEED_MIN=1 SNIPE_SPEED_MAX=1
export SNIPE_RULES='allow team=reorder kind=price-strip domain=*  # asked by Dana Wills
retry team=reorder kind=price-strip max=2  # asked by Dana Wills
allow team=plain kind=price-strip domain=*  # asked by Lee Park'
export SNIPE_DAEMON_FLAGS="--poll-ms 200 --hello-ms 200 --archive-ms 200"
cluster_start "$1" "$dir"
export SNIPE_TEST_DIR=$dir
"$1/test_leaving"
